//! The route table: maps a called number, its context and the caller's user name to a service grade, a pool
//! of first choice and a tenant. Which server gets the call is decided elsewhere.

use std::collections::{BTreeMap, HashMap};

/// A route. Within a context the longest matching prefix wins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The context; empty for calls without one, and for contexts that have no routes.
    pub context: String,
    /// The prefix of the called number.
    pub prefix: String,
    /// Index of the service grade.
    pub grade: usize,
    /// The pool of first choice.
    pub pool: u16,
}

/// The routes, looked up once for each NEW.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    by_context: HashMap<String, BTreeMap<String, (usize, u16)>>,
    max_prefix_len: usize,
    tenants: HashMap<String, usize>,
}

impl Routes {
    /// `tenants` maps user names or contexts to the tenants' indices.
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

    /// The service grade and the pool of first choice, if there is a route.
    pub fn find(&self, context: &str, called: &str) -> Option<(usize, u16)> {
        let prefixes = self.by_context.get(context).or_else(|| self.by_context.get(""))?;
        let max_len = called.len().min(self.max_prefix_len);
        (0..=max_len).rev().find_map(|length| prefixes.get(called.get(..length)?)).copied()
    }

    /// The tenant: by user name first, then by context.
    pub fn tenant(&self, user: &str, context: &str) -> Option<usize> {
        self.tenants.get(user).or_else(|| self.tenants.get(context)).copied()
    }
}
