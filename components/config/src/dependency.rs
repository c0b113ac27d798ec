//! Checks of the dependencies between services.

use domain::ServiceConfig;
use errors::ResultCode;

use crate::cluster::Declared;
use crate::fault::FaultList;
use crate::reader::SectionReader;

const MAX_CYCLE_NAMES: usize = 10;

/// Reports dependencies on names that no section declares, and cycles.
pub(crate) fn check_dependencies(services: &[Declared<'_, ServiceConfig>], faults: &mut FaultList) {
    let mut services: Vec<&Declared<'_, ServiceConfig>> = services.iter().collect();
    services.sort_by_key(|service| (service.name, service.section.line));
    services.dedup_by_key(|service| service.name);
    let graph: Vec<Vec<usize>> = services
        .iter()
        .map(|service| resolve(service, &services, faults))
        .collect();
    for cycle in find_cycles(&graph) {
        report_cycle(&cycle, &services, faults);
    }
}

/// Returns the places of the services on which one depends and reports the unknown ones.
fn resolve(
    service: &Declared<'_, ServiceConfig>,
    services: &[&Declared<'_, ServiceConfig>],
    faults: &mut FaultList,
) -> Vec<usize> {
    let mut known = Vec::new();
    for name in service.content.iter().flat_map(|content| &content.depends) {
        match services.binary_search_by_key(&name.as_str(), |service| service.name) {
            Ok(index) => known.push(index),
            Err(_) => SectionReader::new(service.section, faults).fault_at(
                "depends",
                ResultCode::UnknownDependency,
                format!("no section declares the service {name}"),
            ),
        }
    }
    known
}

fn report_cycle(cycle: &[usize], services: &[&Declared<'_, ServiceConfig>], faults: &mut FaultList) {
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
    SectionReader::new(services[start].section, faults).fault_at(
        "depends",
        ResultCode::DependencyCycle,
        message,
    );
}

/// Progress of the search at one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VisitState {
    Unseen,
    OnPath,
    Done,
}

/// Returns the cycles that a depth-first search closes; the path is kept on the heap, since it may be long.
fn find_cycles(graph: &[Vec<usize>]) -> Vec<Vec<usize>> {
    let mut states = vec![VisitState::Unseen; graph.len()];
    let mut cycles = Vec::new();
    for start in 0..graph.len() {
        if states[start] != VisitState::Unseen {
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
                VisitState::Unseen => {
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
