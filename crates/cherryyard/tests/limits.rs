//! The real program with a state service whose limits are lower than those in the settings:
//! transactions become smaller, and no rejected transaction is sent again unchanged.

use cherryyard_simulation::process::Process;
use cherryyard_simulation::state::ServiceLimits;
use cherryyard_simulation::{StateStandIn, World, small_machine_type};
use cherryyard_wire::record::MACHINE_TYPES_KEY;
use std::path::Path;

/// Guards against a controller that sends the same rejected transaction again and again, and
/// against submissions that fail because of it.
#[tokio::test(flavor = "current_thread")]
async fn transactions_adapt_to_lower_limits_of_the_service() {
    let mut state = StateStandIn::default();
    state.seed(MACHINE_TYPES_KEY, &[small_machine_type(vec!["a".into()])]);
    state.limits = Some(ServiceLimits {
        value_bytes: 1024,
        txn_ops: 4,
    });
    let program = Path::new(env!("CARGO_BIN_EXE_cherryyard"));
    let (service, _controller, client) = Process::start_alone(program, state, "").await;
    // The settings allow values of 4 KiB, so pages of new jobs grow beyond the service's limit.
    for job in 0..40 {
        let mut spec = World::spec(&format!("j-{job:06}"), "sweep", 2);
        spec.job_class = format!("class-{job}");
        let body = serde_json::to_string(&spec).expect("a job");
        let (status, text) = client
            .call_until_available("POST", "/v2/runs", Some(body))
            .await;
        assert!(status == 201 || status == 200, "{job}: {status} {text}");
    }
    let refused = service.with(|state| state.malformed);
    assert!((1..10).contains(&refused), "{refused} refused");
    // Afterwards at most one more transaction is rejected.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    let later = service.with(|state| state.malformed);
    assert!(later - refused <= 1, "{refused}, then {later} refused");
}
