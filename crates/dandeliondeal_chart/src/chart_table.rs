//! A chart compiled into a transition table.

use std::marker::PhantomData;
use std::sync::Arc;

use ini::{Ini, Properties};

use crate::{ChartError, ChartLabel};

/// Effect of an event in a state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Transition<State> {
    Enter(State),
    Ignore,
    Refuse,
}

/// The transitions of a chart: one for each pair of state and event.
#[derive(Clone, Debug)]
pub struct ChartTable<State, Event> {
    name: Arc<str>,
    initial: State,
    /// One row per state, in order of [`ChartLabel::index`], with one column per event.
    transitions: Vec<Transition<State>>,
    event: PhantomData<Event>,
}

impl<State, Event> ChartTable<State, Event>
where
    State: ChartLabel,
    Event: ChartLabel,
{
    /// Parses and validates a chart.
    ///
    /// # Errors
    ///
    /// Returns an error that names the state or event that is unknown, missing or unreachable.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file = Ini::load_from_str(text).map_err(|error| ChartError::Syntax {
            reason: error.to_string().into(),
        })?;
        let name: Arc<str> = chart_property(&file, "name", "chart")?.into();
        let initial = parse_state(&name, chart_property(&file, "initial", &name)?, "chart")?;
        reject_unknown_sections::<State>(&file, &name)?;
        let mut transitions = Vec::with_capacity(State::ALL.len() * Event::ALL.len());
        for &state in State::ALL {
            transitions.extend(parse_state_transitions::<State, Event>(
                &file, &name, state,
            )?);
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

    /// Returns the initial state.
    pub fn initial(&self) -> State {
        self.initial
    }

    /// Returns the name of the chart.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the state that follows `event` in `state`; an ignored event returns `state`.
    ///
    /// # Errors
    ///
    /// Returns [`ChartError::Refused`] if the chart refuses the event in this state.
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
        let mut visited = vec![false; State::ALL.len()];
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            if std::mem::replace(&mut visited[state.index()], true) {
                continue;
            }
            pending.extend(self.target_states(state));
        }
        match State::ALL.iter().find(|state| !visited[state.index()]) {
            None => Ok(()),
            Some(state) => Err(ChartError::Unreachable {
                chart: Arc::clone(&self.name),
                state: state.label().into(),
            }),
        }
    }

    fn target_states(&self, state: State) -> impl Iterator<Item = State> {
        let row_start = state.index() * Event::ALL.len();
        self.transitions[row_start..row_start + Event::ALL.len()]
            .iter()
            .filter_map(|transition| match *transition {
                Transition::Enter(target) => Some(target),
                Transition::Ignore | Transition::Refuse => None,
            })
    }
}

fn chart_property<'file>(
    file: &'file Ini,
    key: &str,
    chart: &str,
) -> Result<&'file str, ChartError> {
    file.get_from(Some("chart"), key)
        .ok_or_else(|| ChartError::Missing {
            chart: chart.into(),
            missing: format!("`{key}` in [chart]").into(),
        })
}

fn parse_state<State>(chart: &Arc<str>, name: &str, section: &str) -> Result<State, ChartError>
where
    State: ChartLabel,
{
    State::from_label(name).ok_or_else(|| ChartError::Unknown {
        chart: Arc::clone(chart),
        name: name.into(),
        section: section.into(),
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
        parse_state::<State>(chart, name, section)?;
    }
    Ok(())
}

fn parse_state_transitions<State, Event>(
    file: &Ini,
    chart: &Arc<str>,
    state: State,
) -> Result<Vec<Transition<State>>, ChartError>
where
    State: ChartLabel,
    Event: ChartLabel,
{
    let section = format!("state {}", state.label());
    let properties = file
        .section(Some(&section))
        .ok_or_else(|| ChartError::Missing {
            chart: Arc::clone(chart),
            missing: format!("[{section}]").into(),
        })?;
    reject_unknown_events::<Event>(properties, chart, &section)?;
    Event::ALL
        .iter()
        .map(|event| parse_transition(properties, chart, &section, event.label()))
        .collect()
}

fn reject_unknown_events<Event>(
    properties: &Properties,
    chart: &Arc<str>,
    section: &str,
) -> Result<(), ChartError>
where
    Event: ChartLabel,
{
    match properties
        .iter()
        .find(|(event, _)| Event::from_label(event).is_none())
    {
        None => Ok(()),
        Some((event, _)) => Err(ChartError::Unknown {
            chart: Arc::clone(chart),
            name: event.into(),
            section: section.into(),
        }),
    }
}

fn parse_transition<State>(
    properties: &Properties,
    chart: &Arc<str>,
    section: &str,
    event: &str,
) -> Result<Transition<State>, ChartError>
where
    State: ChartLabel,
{
    match properties.get(event) {
        Some("ignore") => Ok(Transition::Ignore),
        Some("refuse") => Ok(Transition::Refuse),
        Some(target) => parse_state(chart, target, section).map(Transition::Enter),
        None => Err(ChartError::Missing {
            chart: Arc::clone(chart),
            missing: format!("event `{event}` in [{section}]").into(),
        }),
    }
}
