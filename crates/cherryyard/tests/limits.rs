//! A state service whose limits are below what the settings say, with the real program:
//! transactions get smaller, and none is sent again unchanged.

use cherryyard_simulation::process::Process;
use cherryyard_simulation::state::ServiceLimits;
use cherryyard_simulation::{StateStandIn, World, small_machine_type};
use cherryyard_wire::record::MACHINE_TYPES_KEY;
use std::path::Path;

#[tokio::test(flavor = "current_thread")]
async fn a_service_with_smaller_limits() {
    let mut state = StateStandIn::default();
    state.seed(MACHINE_TYPES_KEY, &[small_machine_type(vec!["a".into()])]);
    state.limits = Some(ServiceLimits {
        value_bytes: 1024,
        txn_ops: 4,
    });
    let program = Path::new(env!("CARGO_BIN_EXE_cherryyard"));
    let (service, _controller, client) = Process::start_alone(program, state, "").await;
    // Settings allow 4 KiB: pages of new jobs grow beyond what the service takes.
    for job in 0..40 {
        let mut spec = World::spec(&format!("j-{job:06}"), "sweep", 2);
        spec.job_class = format!("class-{job}");
        let body = serde_json::to_string(&spec).expect("a job");
        let (status, text) = client.insist("POST", "/v2/runs", Some(body)).await;
        assert!(status == 201 || status == 200, "{job}: {status} {text}");
    }
    let refused = service.with(|state| state.malformed);
    assert!((1..10).contains(&refused), "{refused} refused");
    // Nothing goes on being refused.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    let later = service.with(|state| state.malformed);
    assert!(later - refused <= 1, "{refused}, then {later} refused");
}
