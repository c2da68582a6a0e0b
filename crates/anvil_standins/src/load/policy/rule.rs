//! The rules that are compared: ours and the named baselines.

/// How an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceRule {
    /// [`anvil_policy::choice`].
    Ours,
    /// One after the other.
    RoundRobin,
    /// The least of all reported load, without one's own count.
    LeastReported,
    /// Any.
    Random,
}

/// How requests are let in and wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryRule {
    /// [`anvil_policy::admission`].
    Ours,
    /// Everything is sent on at once.
    NoLimit,
    /// In order of arrival, refused only when the queue is full.
    Fifo,
}

/// A part of ours that can be taken out, to see what it is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Limits that follow latency.
    Limit,
    /// Ejection of slow and failing endpoints.
    Ejection,
    /// Limits that begin at half of the slots.
    LimitStart,
    /// Affinity to cached prefixes.
    Prefix,
}

/// One rule of the experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// Its name in tables.
    pub name: &'static str,
    /// How an endpoint is chosen.
    pub choice: ChoiceRule,
    /// How requests are let in.
    pub entry: EntryRule,
    /// What is taken out of it.
    pub without: Option<Part>,
}

impl Rule {
    /// Ours.
    pub fn ours() -> Self {
        Self {
            name: "anvilreel",
            choice: ChoiceRule::Ours,
            entry: EntryRule::Ours,
            without: None,
        }
    }

    /// With another name.
    pub fn named(mut self, name: &'static str) -> Self {
        self.name = name;
        self
    }

    /// With another choice of endpoint, which looks at nothing else.
    pub fn with_choice(mut self, choice: ChoiceRule) -> Self {
        self.choice = choice;
        self
    }

    /// With another door.
    pub fn with_entry(mut self, entry: EntryRule) -> Self {
        self.entry = entry;
        self
    }

    /// Without a part.
    pub fn without(mut self, part: Part) -> Self {
        self.without = Some(part);
        self
    }

    /// The named baselines. The first three change only the choice, the last two only the door.
    pub fn baselines() -> Vec<Self> {
        let ours = |name| Self::ours().named(name);
        vec![
            ours("round-robin").with_choice(ChoiceRule::RoundRobin),
            ours("least-reported").with_choice(ChoiceRule::LeastReported),
            ours("random").with_choice(ChoiceRule::Random),
            ours("no-limit").with_entry(EntryRule::NoLimit),
            ours("fifo").with_entry(EntryRule::Fifo),
        ]
    }

    /// Ours with one part taken out each.
    pub fn ablations() -> Vec<Self> {
        let ours = |name| Self::ours().named(name);
        vec![
            ours("without-limit").without(Part::Limit),
            ours("without-ejection").without(Part::Ejection),
            ours("without-limit-start").without(Part::LimitStart),
            ours("without-prefix").without(Part::Prefix),
        ]
    }
}
