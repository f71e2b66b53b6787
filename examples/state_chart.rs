//! Parses the state chart of a planned stop and applies events to it.

use std::error::Error;
use std::sync::Arc;

use dandeliondeal::chart::{ChartMachine, ChartTable, chart_labels};

// The labels are defined in code, so that the parser rejects a chart with a misspelt state.
chart_labels! {
    /// States of an instance during a planned stop.
    enum StopState {
        Serving = "serving",
        Unready = "unready",
        Finishing = "finishing",
        Stopped = "stopped",
    }
}
chart_labels! {
    /// Events of a planned stop.
    enum StopEvent {
        Stop = "stop",
        BalancerMoved = "balancer-moved",
        Idle = "idle",
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let text = include_str!("../charts/drain.ini");
    let table: ChartTable<StopState, StopEvent> = ChartTable::parse(text)?;
    // Any number of machines can share one table; a machine stores only its current state.
    let mut machine = ChartMachine::new(Arc::new(table));
    println!("start: {:?}", machine.state());

    // A chart defines a reaction to every event in every state, so that an event that comes too
    // early returns an error and is not silently ignored.
    match machine.apply(StopEvent::BalancerMoved) {
        Ok(state) => println!("balancer moved: {state:?}"),
        Err(error) => println!("balancer moved: {error}"),
    }
    for event in [StopEvent::Stop, StopEvent::BalancerMoved, StopEvent::Idle] {
        println!("{event:?}: {:?}", machine.apply(event)?);
    }

    // The parser validates the whole chart before any machine can use it.
    let invalid_text = text.replace("idle = stopped", "idle = stoped");
    if let Err(error) = ChartTable::<StopState, StopEvent>::parse(&invalid_text) {
        println!("broken chart: {error}");
    }
    Ok(())
}
