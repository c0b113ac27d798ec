//! Clients of the platform: the object API and the host list.

mod hosts;
mod http;
mod memory;
mod object;
mod remote;

pub use hosts::HostDirectory;
pub use memory::{MemoryFaults, MemoryStore};
pub use object::{ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject, WriteCondition};
pub use remote::RemoteStore;
