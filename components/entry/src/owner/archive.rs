//! Ended programs in the object API, so that their histories outlive the owner's memory.

use anyhow::{Context as _, Result, bail};
use bytes::Bytes;
use domain::{ProgramKey, ProgramState};
use store::{ObjectStore, PlatformError, WriteCondition};

/// Largest part of an archived program in bytes; an object holds at most 1 MiB.
const PART_BYTES: usize = 1000 * 1024;

/// Writes an ended program; parts that are there already stay as they are.
///
/// # Errors
///
/// Fails when the object API does not answer; a repeated call completes the archive.
pub(crate) async fn archive_program(store: &dyn ObjectStore, program: &ProgramState) -> Result<()> {
    let encoded = Bytes::from(serde_json::to_vec(program)?);
    let count = encoded.len().div_ceil(PART_BYTES);
    // The first part goes last: a reader finds it only once the others are there.
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

/// Reads an archived program; `None` when there is none.
///
/// # Errors
///
/// Fails when the object API does not answer or the archive cannot be decoded.
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
    let program: ProgramState =
        serde_json::from_slice(&encoded).with_context(|| format!("archive of {key}"))?;
    if program.key != key {
        bail!("the archive of {key} holds {}", program.key);
    }
    Ok(Some(program))
}

fn part_key(program: ProgramKey, index: usize) -> String {
    format!("archive/{program}/{index:04}")
}
