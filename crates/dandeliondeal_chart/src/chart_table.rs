//! A chart compiled to a table of transitions.

use std::marker::PhantomData;
use std::sync::Arc;

use ini::{Ini, Properties};

use crate::{ChartError, ChartLabel};

/// What an event does in a state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Transition<State> {
    Enter(State),
    Ignore,
    Refuse,
}

/// The transitions of a chart: one for each state and event.
#[derive(Clone, Debug)]
pub struct ChartTable<State, Event> {
    name: Arc<str>,
    initial: State,
    transitions: Vec<Transition<State>>,
    event: PhantomData<Event>,
}

impl<State, Event> ChartTable<State, Event>
where
    State: ChartLabel,
    Event: ChartLabel,
{
    /// Reads and checks a chart.
    ///
    /// # Errors
    ///
    /// Says which state or event is unknown, missing, or cannot be reached.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file = Ini::load_from_str(text).map_err(|error| ChartError::Syntax {
            reason: error.to_string().into(),
        })?;
        let name: Arc<str> = head(&file, "name", "chart")?.into();
        let initial = state_named(&name, head(&file, "initial", &name)?, "chart")?;
        reject_unknown_sections::<State>(&file, &name)?;
        let mut transitions = Vec::with_capacity(State::ALL.len() * Event::ALL.len());
        for &state in State::ALL {
            transitions.extend(state_transitions::<State, Event>(&file, &name, state)?);
        }
        let table = Self {
            name,
            initial,
            transitions,
            event: PhantomData,
        };
        table.check_reachable()?;
        Ok(table)
    }

    /// The state in which the chart starts.
    pub fn initial(&self) -> State {
        self.initial
    }

    /// Name of the chart.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// The state after `event` in `state`; an ignored event leaves the state as it is.
    ///
    /// # Errors
    ///
    /// [`ChartError::Refused`] if the chart refuses the event in this state.
    pub fn next(&self, state: State, event: Event) -> Result<State, ChartError> {
        match self.transitions[state.index() * Event::ALL.len() + event.index()] {
            Transition::Enter(target) => Ok(target),
            Transition::Ignore => Ok(state),
            Transition::Refuse => Err(ChartError::Refused {
                chart: Arc::clone(&self.name),
                state: state.label(),
                event: event.label(),
            }),
        }
    }

    fn check_reachable(&self) -> Result<(), ChartError> {
        let mut reached = vec![false; State::ALL.len()];
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            pending.extend(self.targets(state));
        }
        match State::ALL.iter().find(|state| !reached[state.index()]) {
            None => Ok(()),
            Some(state) => Err(ChartError::Unreachable {
                chart: Arc::clone(&self.name),
                state: state.label().into(),
            }),
        }
    }

    fn targets(&self, state: State) -> impl Iterator<Item = State> {
        let first = state.index() * Event::ALL.len();
        self.transitions[first..first + Event::ALL.len()]
            .iter()
            .filter_map(|transition| match *transition {
                Transition::Enter(target) => Some(target),
                Transition::Ignore | Transition::Refuse => None,
            })
    }
}

fn head<'file>(file: &'file Ini, key: &str, chart: &str) -> Result<&'file str, ChartError> {
    file.get_from(Some("chart"), key)
        .ok_or_else(|| ChartError::Missing {
            chart: chart.into(),
            missing: format!("`{key}` in [chart]").into(),
        })
}

fn state_named<State>(chart: &Arc<str>, name: &str, place: &str) -> Result<State, ChartError>
where
    State: ChartLabel,
{
    State::from_label(name).ok_or_else(|| ChartError::Unknown {
        chart: Arc::clone(chart),
        name: name.into(),
        place: place.into(),
    })
}

fn reject_unknown_sections<State>(file: &Ini, chart: &Arc<str>) -> Result<(), ChartError>
where
    State: ChartLabel,
{
    for section in file
        .sections()
        .flatten()
        .filter(|section| *section != "chart")
    {
        let name = section.strip_prefix("state ").unwrap_or(section);
        state_named::<State>(chart, name, section)?;
    }
    Ok(())
}

fn state_transitions<State, Event>(
    file: &Ini,
    chart: &Arc<str>,
    state: State,
) -> Result<Vec<Transition<State>>, ChartError>
where
    State: ChartLabel,
    Event: ChartLabel,
{
    let section = format!("state {}", state.label());
    let lines = file
        .section(Some(&section))
        .ok_or_else(|| ChartError::Missing {
            chart: Arc::clone(chart),
            missing: format!("[{section}]").into(),
        })?;
    reject_unknown_events::<Event>(lines, chart, &section)?;
    Event::ALL
        .iter()
        .map(|event| transition(lines, chart, &section, event.label()))
        .collect()
}

fn reject_unknown_events<Event>(
    lines: &Properties,
    chart: &Arc<str>,
    section: &str,
) -> Result<(), ChartError>
where
    Event: ChartLabel,
{
    match lines
        .iter()
        .find(|(event, _)| Event::from_label(event).is_none())
    {
        None => Ok(()),
        Some((event, _)) => Err(ChartError::Unknown {
            chart: Arc::clone(chart),
            name: event.into(),
            place: section.into(),
        }),
    }
}

fn transition<State>(
    lines: &Properties,
    chart: &Arc<str>,
    section: &str,
    event: &str,
) -> Result<Transition<State>, ChartError>
where
    State: ChartLabel,
{
    match lines.get(event) {
        Some("ignore") => Ok(Transition::Ignore),
        Some("refuse") => Ok(Transition::Refuse),
        Some(target) => state_named(chart, target, section).map(Transition::Enter),
        None => Err(ChartError::Missing {
            chart: Arc::clone(chart),
            missing: format!("event `{event}` in [{section}]").into(),
        }),
    }
}
