//! Development stand-ins for the platform, the engines and the services.

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    standins::standin_command().run().run().await
}
