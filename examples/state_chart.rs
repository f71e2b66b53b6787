//! Reads the chart of a planned stop and walks through it.

use std::error::Error;
use std::sync::Arc;

use dandeliondeal::chart::{ChartMachine, ChartTable, chart_labels};

// The labels are stated in code, so that a misspelt state in a chart is found when it is read.
chart_labels! {
    /// Where an instance stands in its stop.
    enum StopState {
        Serving = "serving",
        Unready = "unready",
        Finishing = "finishing",
        Stopped = "stopped",
    }
}
chart_labels! {
    /// What can happen to an instance that stops.
    enum StopEvent {
        Stop = "stop",
        BalancerMoved = "balancer-moved",
        Idle = "idle",
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let text = include_str!("../charts/drain.ini");
    let table: ChartTable<StopState, StopEvent> = ChartTable::parse(text)?;
    // One table serves any number of machines; a machine holds no more than its state.
    let mut machine = ChartMachine::new(Arc::new(table));
    println!("start: {:?}", machine.state());

    // A chart answers every event in every state, so an early event is refused and not lost.
    match machine.apply(StopEvent::BalancerMoved) {
        Ok(state) => println!("balancer moved: {state:?}"),
        Err(error) => println!("balancer moved: {error}"),
    }
    for event in [StopEvent::Stop, StopEvent::BalancerMoved, StopEvent::Idle] {
        println!("{event:?}: {:?}", machine.apply(event)?);
    }

    // The reader checks the whole chart before anything runs by it.
    let broken = text.replace("idle = stopped", "idle = stoped");
    if let Err(error) = ChartTable::<StopState, StopEvent>::parse(&broken) {
        println!("broken chart: {error}");
    }
    Ok(())
}
