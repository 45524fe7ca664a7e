//! The agent as a program: reading its configuration, starting its tasks, waiting for its end.

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

/// A start counts as done after so long, half of what nine in ten of them may take, whatever is
/// still awaited: a list, or connections to endpoints that hang or come up late. What cannot be
/// served yet is rejected then.
const MAX_START_TIME: Duration = Duration::from_secs(5);

/// Why the agent ended by a fault.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    /// The listener for clients could not be bound.
    #[error("field listen: {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    /// The admin endpoint could not be opened.
    #[error("door: {0}")]
    Admin(#[source] io::Error),
    /// The event loop or the listener failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What the program has before its first task.
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

/// Runs one agent until SIGTERM; fails where it could not start or ended by a fault. `log_format`
/// takes precedence over the installation's.
pub fn run(paths: ConfigPaths, log_format: Option<LogFormat>) -> ExitCode {
    // What is allocated until the limit on memory is known is to fit a low one.
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

/// Starts all tasks and waits until the last phase.
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
    // It ends once the program terminates and nobody waits to be accepted any more.
    let stopped = async {
        agent.lifecycle.wait_for(Phase::Stopped).await;
        Ok(())
    };
    accepting.or(stopped).await?;
    drop(listener);
    agent.lifecycle.mark_listener_closed();
    agent.lifecycle.wait_for(Phase::Stopped).await;
    if let Some(task) = admin_task {
        // The file of its socket is removed with it.
        task.cancel().await;
    }
    Ok(())
}

/// Takes the size of the process off what may be buffered, while no client's buffers are part of it.
fn measure_process(agent: &Agent) {
    match process_memory::resident_bytes() {
        Some(bytes) => agent.limits.set_process_bytes(bytes),
        None => log::warn!("the size of the process is unknown; buffers are bounded without it"),
    }
    agent.report_memory_limit();
}

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
}

/// Goes on to [`Phase::Serving`] once requests can be served, or a start has taken long enough.
async fn finish_start(agent: &Rc<Agent>) {
    let prepare = async {
        // Where calls to discovery are paid for, requests and connections do not wait here: no
        // list is valid yet, so that the balancer sends nothing and rejects at half of a request's
        // time.
        let settings = &agent.service_config().settings;
        if let Some(max_wait) = WatchTimer::new(settings).startup_list_timeout() {
            agent
                .sleep_until(agent.clock.now() + max_wait)
                .or(agent.endpoints.serving_allowed())
                .await;
        }
        agent.endpoints.allow_serving();
        warm_up(agent).await;
    };
    prepare
        .or(agent.sleep_until(agent.clock.now() + MAX_START_TIME))
        .await;
    agent.lifecycle.advance_to(Phase::Serving);
}
