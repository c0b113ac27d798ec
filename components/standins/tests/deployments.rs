//! Checks the configuration texts of the deployments with the parser of azuretide.

use config::parse_configuration;
use googletest::prelude::*;
use standins::Deployment;

#[gtest]
fn every_deployment_has_a_valid_configuration() {
    for deployment in [
        Deployment::kelanimatch(),
        Deployment::salish(),
        Deployment::demo(),
    ] {
        let parsed = parse_configuration(&deployment.configuration);
        expect_that!(parsed, ok(anything()));
    }
}
