//! The rules that are compared: ours, baselines and ablations.

/// How an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceRule {
    /// [`anvil_policy::choice`].
    Ours,
    /// All endpoints in turn.
    RoundRobin,
    /// The endpoint with the least reported load, without the router's own count of requests.
    LeastReported,
    /// A random endpoint.
    Random,
}

/// How requests are admitted and queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionKind {
    /// [`anvil_policy::admission`].
    Ours,
    /// All requests are dispatched at once.
    NoLimit,
    /// First in, first out; requests are refused only when the queue is full.
    Fifo,
}

/// A component of our rule that can be removed to measure its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Component {
    /// Concurrency limits that adapt to latency.
    Limit,
    /// Ejection of slow and failing endpoints.
    Ejection,
    /// Limits that start at half of the slots.
    LimitStart,
    /// Preference for endpoints with the cached prefix.
    Prefix,
}

/// A rule of the simulation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// Name, used in tables.
    pub name: &'static str,
    /// How an endpoint is chosen.
    pub choice: ChoiceRule,
    /// How requests are admitted.
    pub admission: AdmissionKind,
    /// The component that is removed, if any.
    pub without: Option<Component>,
}

impl Rule {
    /// Our rule.
    pub fn ours() -> Self {
        Self {
            name: "anvilreel",
            choice: ChoiceRule::Ours,
            admission: AdmissionKind::Ours,
            without: None,
        }
    }

    /// Replaces the name.
    pub fn named(mut self, name: &'static str) -> Self {
        self.name = name;
        self
    }

    /// Replaces the choice of the endpoint by one without further criteria.
    pub fn with_choice(mut self, choice: ChoiceRule) -> Self {
        self.choice = choice;
        self
    }

    /// Replaces the admission.
    pub fn with_admission(mut self, admission: AdmissionKind) -> Self {
        self.admission = admission;
        self
    }

    /// Removes a component.
    pub fn without(mut self, component: Component) -> Self {
        self.without = Some(component);
        self
    }

    /// The baselines. The first three change only the choice, the last two only the admission.
    pub fn baselines() -> Vec<Self> {
        let ours = |name| Self::ours().named(name);
        vec![
            ours("round-robin").with_choice(ChoiceRule::RoundRobin),
            ours("least-reported").with_choice(ChoiceRule::LeastReported),
            ours("random").with_choice(ChoiceRule::Random),
            ours("no-limit").with_admission(AdmissionKind::NoLimit),
            ours("fifo").with_admission(AdmissionKind::Fifo),
        ]
    }

    /// Our rule with one component removed in each.
    pub fn ablations() -> Vec<Self> {
        let ours = |name| Self::ours().named(name);
        vec![
            ours("without-limit").without(Component::Limit),
            ours("without-ejection").without(Component::Ejection),
            ours("without-limit-start").without(Component::LimitStart),
            ours("without-prefix").without(Component::Prefix),
        ]
    }
}
