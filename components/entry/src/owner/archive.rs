//! Archive of ended programs in the object API. Their histories stay readable after the owner has removed
//! them from memory.

use anyhow::{Context as _, Result, bail};
use bytes::Bytes;
use domain::{ProgramKey, ProgramState};
use store::{ObjectStore, PlatformError, WriteCondition};

/// Maximum size in bytes of one part of an archived program. It is below the size limit of an object, 1 MiB.
const PART_BYTES: usize = 1000 * 1024;

/// Writes an ended program to the archive. Parts that already exist are not overwritten.
///
/// # Errors
///
/// Fails if the object API is unavailable. A repeated call completes the archive.
pub(crate) async fn archive_program(store: &dyn ObjectStore, program: &ProgramState) -> Result<()> {
    let encoded = Bytes::from(serde_json::to_vec(program)?);
    let count = encoded.len().div_ceil(PART_BYTES);
    // The first part is written last, so that a reader that finds it also finds all others.
    for index in (0..count).rev() {
        let end = encoded.len().min((index + 1) * PART_BYTES);
        let part = encoded.slice(index * PART_BYTES..end);
        match store
            .write(&part_key(program.key, index), part, WriteCondition::Absent)
            .await
        {
            Ok(_) | Err(PlatformError::Conflict) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

/// Reads a program from the archive; `None` if it is not there.
///
/// # Errors
///
/// Fails if the object API is unavailable, or if the archive cannot be decoded or holds another program.
pub(crate) async fn read_archive(store: &dyn ObjectStore, key: ProgramKey) -> Result<Option<ProgramState>> {
    let mut encoded = Vec::new();
    for index in 0.. {
        let Some(part) = store.read(&part_key(key, index)).await? else {
            break;
        };
        encoded.extend_from_slice(&part.value);
        if part.value.len() < PART_BYTES {
            break;
        }
    }
    if encoded.is_empty() {
        return Ok(None);
    }
    let program: ProgramState = serde_json::from_slice(&encoded)
        .with_context(|| format!("archive of program {key} cannot be decoded"))?;
    if program.key != key {
        bail!("archive of program {key} holds program {} instead", program.key);
    }
    Ok(Some(program))
}

fn part_key(program: ProgramKey, index: usize) -> String {
    format!("archive/{program}/{index:04}")
}
