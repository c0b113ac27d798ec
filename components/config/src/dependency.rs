//! Validation of the dependencies between services.

use domain::ServiceConfig;
use errors::ResultCode;

use crate::cluster::ParsedSection;
use crate::fault::FaultList;
use crate::reader::SectionReader;

const MAX_CYCLE_NAMES: usize = 10;

/// Reports dependencies on undeclared services, and cycles of dependencies.
pub(crate) fn check_dependencies(services: &[ParsedSection<'_, ServiceConfig>], faults: &mut FaultList) {
    let mut services: Vec<&ParsedSection<'_, ServiceConfig>> = services.iter().collect();
    services.sort_by_key(|service| (service.name, service.section.line));
    services.dedup_by_key(|service| service.name);
    let graph: Vec<Vec<usize>> = services
        .iter()
        .map(|service| resolve_dependencies(service, &services, faults))
        .collect();
    for cycle in find_cycles(&graph) {
        report_cycle(&cycle, &services, faults);
    }
}

/// Returns the indices of the services on which a service depends and reports the undeclared ones.
fn resolve_dependencies(
    service: &ParsedSection<'_, ServiceConfig>,
    services: &[&ParsedSection<'_, ServiceConfig>],
    faults: &mut FaultList,
) -> Vec<usize> {
    let mut indices = Vec::new();
    for name in service.content.iter().flat_map(|content| &content.depends) {
        match services.binary_search_by_key(&name.as_str(), |service| service.name) {
            Ok(index) => indices.push(index),
            Err(_) => SectionReader::new(service.section, faults).report_at(
                "depends",
                ResultCode::UnknownDependency,
                format!("no section declares the service {name}"),
            ),
        }
    }
    indices
}

fn report_cycle(cycle: &[usize], services: &[&ParsedSection<'_, ServiceConfig>], faults: &mut FaultList) {
    let Some(&start) = cycle.first() else {
        return;
    };
    let mut names: Vec<&str> = cycle.iter().map(|&index| services[index].name).collect();
    if names.len() > MAX_CYCLE_NAMES {
        names.truncate(MAX_CYCLE_NAMES);
        names.push("…");
    }
    names.push(services[start].name);
    let message = format!("the dependencies form a cycle: {}", names.join(" > "));
    SectionReader::new(services[start].section, faults).report_at(
        "depends",
        ResultCode::DependencyCycle,
        message,
    );
}

/// State of one service in the depth-first search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VisitState {
    Unvisited,
    OnPath,
    Done,
}

/// Returns the cycles that a depth-first search finds, as indices into the graph.
///
/// The path is a vector on the heap instead of recursion, because it may be long.
fn find_cycles(graph: &[Vec<usize>]) -> Vec<Vec<usize>> {
    let mut states = vec![VisitState::Unvisited; graph.len()];
    let mut cycles = Vec::new();
    for start in 0..graph.len() {
        if states[start] != VisitState::Unvisited {
            continue;
        }
        states[start] = VisitState::OnPath;
        let mut path = vec![(start, 0)];
        while let Some((service, edge)) = path.last_mut() {
            let service = *service;
            let Some(&next) = graph[service].get(*edge) else {
                states[service] = VisitState::Done;
                path.pop();
                continue;
            };
            *edge += 1;
            match states[next] {
                VisitState::Unvisited => {
                    states[next] = VisitState::OnPath;
                    path.push((next, 0));
                }
                VisitState::OnPath => cycles.push(close_cycle(&path, next)),
                VisitState::Done => {}
            }
        }
    }
    cycles
}

fn close_cycle(path: &[(usize, usize)], first: usize) -> Vec<usize> {
    let from = path
        .iter()
        .position(|(service, _)| *service == first)
        .unwrap_or_default();
    path[from..].iter().map(|(service, _)| *service).collect()
}
