//! Runs the agent as a program: reads its configuration, starts its tasks and waits for its end.

use super::listener;
use super::phase::Phase;
use super::signals;
use super::start::{ConfigPaths, StartupConfig, StartupError};
use crate::admin;
use crate::agent::{has_room_for_huge_pages, Agent};
use crate::control::{balancer_poll, discovery, platform};
use crate::observability::logging;
use crate::runtime::process_memory;
use crate::runtime::reactor;
use crate::runtime::signals::Signals;
use crate::upstream::warm_up::warm_up;
use async_executor::Task;
use futures_lite::future::FutureExt;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tulipwall_config::LogFormat;
use tulipwall_discovery::watch_timer::WatchTimer;

/// The start counts as finished after this time even if the endpoint list or connections to
/// endpoints that hang or start late are still awaited. It is half of the time that nine in ten
/// starts may take.
const MAX_START_TIME: Duration = Duration::from_secs(5);

/// Why the agent ended with an error.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    /// The listener for clients could not bind its address.
    #[error("field listen: {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    /// The admin endpoint (setting `door`) could not bind its address.
    #[error("door: {0}")]
    Admin(#[source] io::Error),
    /// The event loop or the listener failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The signal handlers and the configuration, both needed before the first task starts.
struct Inputs {
    signals: Signals,
    config: StartupConfig,
}

impl Inputs {
    fn read(paths: &ConfigPaths) -> Result<Inputs, Vec<StartupError>> {
        let signals = Signals::new().map_err(|error| vec![StartupError::Signals(error)])?;
        let config = StartupConfig::read(paths)?;
        Ok(Inputs { signals, config })
    }
}

/// Runs one agent until SIGTERM. Fails if the agent could not start or ended with an error.
/// `log_format` takes precedence over the installation's.
pub fn run(paths: ConfigPaths, log_format: Option<LogFormat>) -> ExitCode {
    // Until the memory limit is known, allocations must also fit a low one.
    process_memory::allow_huge_pages(false);
    let inputs = Inputs::read(&paths);
    let configured_format = match &inputs {
        Ok(inputs) => inputs.config.log_format,
        Err(_) => None,
    };
    logging::begin(log_format.or(configured_format).unwrap_or(LogFormat::Text));
    let Inputs { signals, config } = match inputs {
        Ok(inputs) => inputs,
        Err(errors) => {
            for error in &errors {
                log::error!("{error}");
            }
            return ExitCode::FAILURE;
        }
    };
    log::info!(agent = config.name.as_str(), address:% = config.listen;
        "{}: listening on {}", config.name, config.listen);
    process_memory::allow_huge_pages(has_room_for_huge_pages(config.memory_limit));
    let agent = Agent::start(config);
    let main = serve(&agent, signals, paths);
    let finished = reactor::run(&agent.executors.tasks, &agent.executors.urgent, main);
    log::info!("{}; {}", agent.counters, agent.retained_summary());
    match finished.map_err(ServeError::Io).and_then(|served| served) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts all tasks and waits for [`Phase::Stopped`].
async fn serve(agent: &Rc<Agent>, signals: Signals, paths: ConfigPaths) -> Result<(), ServeError> {
    measure_process(agent);
    let address = agent.start_addresses.listen;
    let listener =
        listener::bind(agent, address).map_err(|source| ServeError::Listen { address, source })?;
    let listener = Rc::new(listener);
    let admin_task = start_admin(agent)?;
    start_control_tasks(agent, signals, paths);

    let accepting = {
        let agent_handle = agent.clone();
        let listener = listener.clone();
        let accept = async move { listener::accept_clients(&agent_handle, &listener).await };
        agent.executors.tasks.spawn(accept)
    };
    // Accepting ends once the program terminates and the accept queue is empty.
    let stopped = async {
        agent.lifecycle.wait_for(Phase::Stopped).await;
        Ok(())
    };
    accepting.or(stopped).await?;
    drop(listener);
    agent.lifecycle.mark_listener_closed();
    agent.lifecycle.wait_for(Phase::Stopped).await;
    if let Some(task) = admin_task {
        // Cancelling drops the listener, which removes the file of a Unix socket.
        task.cancel().await;
    }
    Ok(())
}

/// Subtracts the size of the process from the memory limit for buffers. Measured before any client
/// connects, so that the size contains no client's buffers.
fn measure_process(agent: &Agent) {
    match process_memory::resident_bytes() {
        Some(bytes) => agent.limits.set_process_bytes(bytes),
        None => log::warn!("process size unknown; the buffer limit does not account for it"),
    }
    agent.report_memory_limit();
}

/// Starts the admin endpoint; `None` if the installation sets no address for it.
fn start_admin(agent: &Rc<Agent>) -> Result<Option<Task<()>>, ServeError> {
    let Some(address) = &agent.start_addresses.admin else {
        return Ok(None);
    };
    let listener = admin::AdminListener::bind(address).map_err(ServeError::Admin)?;
    let agent_handle = agent.clone();
    let task = async move { admin::run(&agent_handle, listener).await };
    Ok(Some(agent.executors.tasks.spawn(task)))
}

fn start_control_tasks(agent: &Rc<Agent>, signals: Signals, paths: ConfigPaths) {
    let executors = &agent.executors;
    let handle = agent.clone();
    let discovery_watch = async move { discovery::run(&handle).await };
    executors.urgent.spawn(discovery_watch).detach();

    let handle = agent.clone();
    let lease_log = async move { discovery::lease_log::run(&handle).await };
    executors.tasks.spawn(lease_log).detach();

    let handle = agent.clone();
    let platform_session = async move { platform::run(&handle).await };
    executors.tasks.spawn(platform_session).detach();

    let handle = agent.clone();
    let balancer_poll = async move { balancer_poll::run(&handle).await };
    executors.tasks.spawn(balancer_poll).detach();

    let handle = agent.clone();
    let signal_handling = async move { signals::run(&handle, signals, &paths).await };
    executors.tasks.spawn(signal_handling).detach();

    let handle = agent.clone();
    let start = async move { finish_start(&handle).await };
    executors.tasks.spawn(start).detach();

    let handle = agent.clone();
    let start_timeout = async move {
        handle
            .sleep_until(handle.clock.now() + MAX_START_TIME)
            .await;
        handle.lifecycle.advance_to(Phase::Serving);
    };
    executors.tasks.spawn(start_timeout).detach();
}

/// Opens connections in advance and advances to [`Phase::Serving`]. Goes on after
/// [`MAX_START_TIME`], so that connections are open once a late endpoint list has arrived.
///
/// Where calls to discovery are free, connections are opened only to the endpoints of a list that
/// discovery sent. Where they are paid for, the first list may take seconds, and connections are
/// opened to the configured endpoints meanwhile. No request is sent on them before a list arrives.
async fn finish_start(agent: &Rc<Agent>) {
    let settings = &agent.service_config().settings;
    if WatchTimer::new(settings).calls_are_free() {
        agent.list_is_valid().await;
    }
    warm_up(agent).await;
    agent.lifecycle.advance_to(Phase::Serving);
}
