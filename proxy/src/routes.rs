//! The route table: what a called number, its context and the caller's name stand for. It names a service
//! grade, a pool of first choice and a tenant; which server takes the call is decided elsewhere.

use std::collections::{BTreeMap, HashMap};

/// A line of the table. The longest prefix of a context wins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The context it is for; empty for calls that name none, and where the named one has no line.
    pub context: String,
    pub prefix: String,
    pub grade: usize,
    pub pool: u16,
}

/// Looked up once for each NEW.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    by_context: HashMap<String, BTreeMap<String, (usize, u16)>>,
    max_prefix_len: usize,
    tenants: HashMap<String, usize>,
}

impl Routes {
    /// `tenants` by the user name or the context that stands for them.
    pub fn new(
        routes: impl IntoIterator<Item = Route>,
        tenants: impl IntoIterator<Item = (String, usize)>,
    ) -> Self {
        let mut table = Self { tenants: tenants.into_iter().collect(), ..Self::default() };
        for Route { context, prefix, grade, pool } in routes {
            table.max_prefix_len = table.max_prefix_len.max(prefix.len());
            table.by_context.entry(context).or_default().insert(prefix, (grade, pool));
        }
        table
    }

    /// Service grade and pool of first choice.
    pub fn find(&self, context: &str, called: &str) -> Option<(usize, u16)> {
        let lines = self.by_context.get(context).or_else(|| self.by_context.get(""))?;
        let longest = called.len().min(self.max_prefix_len);
        (0..=longest).rev().find_map(|length| lines.get(called.get(..length)?)).copied()
    }

    /// The tenant: by user name first, then by context.
    pub fn tenant(&self, user: &str, context: &str) -> Option<usize> {
        self.tenants.get(user).or_else(|| self.tenants.get(context)).copied()
    }
}
