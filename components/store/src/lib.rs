//! Clients of the platform's object API and host list, and an object store in memory for tests.

mod hosts;
mod http;
mod memory;
mod object;
mod remote;

pub use hosts::HostDirectory;
pub use memory::{MemoryFaults, MemoryStore};
pub use object::{ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject, WriteCondition};
pub use remote::RemoteStore;
