//! Home servers of sessions and objects, and the servers of shared prefixes, by weighted rendezvous hashing with bounded
//! load.
//!
//! Load pattern: servers are added, removed, resized and restarted while many entries serve sessions whose prompts
//! servers have cached. Every entry ranks the servers for a key alike without a message, in proportion to their sizes. A
//! change of one server moves only the keys that it gains or loses. A server that has more than its share of the work
//! under way is passed over in favour of the next in the key's own ranking, and gets the key back when it has room.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64;

use crate::directory::{ServerDirectory, ServerKey};

/// Largest load of a server in percent of its share of the requests under way.
const MAX_LOAD_PERCENT: u64 = 125;
/// Limit on the rankings that are remembered; beyond it they are computed anew.
const MAX_RANKINGS: usize = 256;

/// A server as the ranking sees it.
#[derive(Debug, Clone, Copy)]
struct SizedServer {
    key: ServerKey,
    /// Hash of the name, which stays the same when the server starts again.
    name_hash: u64,
    size: u32,
}

impl SizedServer {
    /// Returns a uniformly distributed number above 0 and at most 1 for a key.
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit exactly")]
    fn draw(self, key: u64) -> f64 {
        let bits = mix(self.name_hash ^ mix(key));
        ((bits >> 11) + 1) as f64 / (1_u64 << 53) as f64
    }

    /// Returns the score of a draw, which is exponentially distributed with the size as its rate. The smallest score of
    /// all servers is a server's with a probability in proportion to its size.
    fn score(self, draw: f64) -> f64 {
        -draw.ln() / f64::from(self.size)
    }

    /// Returns a lower bound of the score that takes no logarithm.
    fn least_score(self, draw: f64) -> f64 {
        (1.0 - draw) / f64::from(self.size)
    }
}

/// The servers of one service that take new work, with their sizes.
#[derive(Debug, Clone, Default)]
pub struct AssignmentTable {
    servers: Vec<SizedServer>,
    total_size: u64,
    /// Servers by rank for keys that are asked for again and again, sorted by key.
    rankings: Vec<(u64, Vec<ServerKey>)>,
}

impl AssignmentTable {
    /// Creates the table of a service as the directory lists it. The size of a server is its capacity.
    pub fn of_service(directory: &ServerDirectory, service: &str) -> Self {
        let ready = directory.ready(service);
        let servers: Vec<SizedServer> = ready
            .map(|(key, server)| SizedServer {
                key,
                name_hash: xxh3_64(server.name.as_bytes()),
                size: server.capacity.max(1),
            })
            .collect();
        let total_size = servers.iter().map(|server| u64::from(server.size)).sum();
        Self {
            servers,
            total_size,
            rankings: Vec::new(),
        }
    }

    /// Returns the first server of a key's ranking among those that `may_take` allows; `None` if it allows none.
    pub fn home(&self, key: u64, may_take: impl Fn(ServerKey) -> bool) -> Option<ServerKey> {
        self.first_of(key, |server| may_take(server.key))
    }

    fn first_of(&self, key: u64, may_take: impl Fn(&SizedServer) -> bool) -> Option<ServerKey> {
        let mut best: Option<(f64, SizedServer)> = None;
        for server in &self.servers {
            let draw = server.draw(key);
            let lowest = best.map_or(f64::INFINITY, |(score, _)| score);
            if server.least_score(draw) > lowest {
                continue;
            }
            let score = server.score(draw);
            if score < lowest && may_take(server) {
                best = Some((score, *server));
            }
        }
        best.map(|(_, server)| server.key)
    }

    /// Returns the first server of a key's ranking, among those that `may_take` allows, that has no more than
    /// [`MAX_LOAD_PERCENT`] of its share of the requests under way, with one more; `None` if `may_take` allows none.
    /// `load` is the number of requests at a server.
    pub fn bounded_home(
        &self,
        key: u64,
        load: impl Fn(ServerKey) -> u32,
        may_take: impl Fn(ServerKey) -> bool,
    ) -> Option<ServerKey> {
        let home = self.home(key, &may_take)?;
        // Every bound is at least one request.
        if load(home) == 0 {
            return Some(home);
        }
        let loads = self.servers.iter().map(|server| u64::from(load(server.key)));
        let requests = loads.sum::<u64>() + 1;
        let has_room = |server: &SizedServer| u64::from(load(server.key)) < self.bound(*server, requests);
        let roomy = self.first_of(key, |server| may_take(server.key) && has_room(server));
        roomy.or(Some(home))
    }

    /// Returns the sorted keys of the first `copies` servers of a key's ranking.
    pub fn first(&mut self, key: u64, copies: usize) -> Vec<ServerKey> {
        let index = match self.rankings.binary_search_by_key(&key, |(ranked, _)| *ranked) {
            Ok(index) => index,
            Err(_) if self.rankings.len() >= MAX_RANKINGS => {
                self.rankings.clear();
                self.rankings.push((key, self.ranking(key)));
                0
            }
            Err(index) => {
                self.rankings.insert(index, (key, self.ranking(key)));
                index
            }
        };
        let ranking = &self.rankings[index].1;
        let mut first = ranking[..copies.min(ranking.len())].to_vec();
        first.sort_unstable();
        first
    }

    /// Returns the number of requests that a server may have when `requests` are under way.
    fn bound(&self, server: SizedServer, requests: u64) -> u64 {
        let share = MAX_LOAD_PERCENT * requests * u64::from(server.size);
        share.div_ceil(100 * self.total_size.max(1))
    }

    fn ranking(&self, key: u64) -> Vec<ServerKey> {
        let scores = self.servers.iter().map(|server| {
            let score = server.score(server.draw(key));
            (score, server.key)
        });
        let mut scores: Vec<(f64, ServerKey)> = scores.collect();
        scores.sort_unstable_by(|(left, left_key), (right, right_key)| {
            let order = left.partial_cmp(right).unwrap_or(Ordering::Equal);
            order.then(left_key.cmp(right_key))
        });
        scores.into_iter().map(|(_, key)| key).collect()
    }
}

/// Spreads the bits of a number (the finalizer of `SplitMix64`).
const fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
