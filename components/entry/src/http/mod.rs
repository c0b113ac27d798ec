//! HTTP port for callers and operators.

mod admin;
mod auth;
mod chat;
mod operators;
mod programs;
mod reply;
mod request;
mod room;
mod route;
mod server;
mod service;

pub(crate) use server::serve_http;
