//! Invalid and redundant requests: repeated submissions, also with other fields, repeated
//! cancellations, also of jobs that have ended, and jobs that fit no machine or lack a field.

use super::super::World;
use super::{Answer, Question};
use cherryyard_wire::job::JobSpec;

/// Average number of steps of the clock between two odd requests.
const STEPS_PER_ODD_REQUEST: u64 = 10;
/// First id of jobs that cannot run.
const FIRST_IMPOSSIBLE_ID: u64 = 980_000;
/// Id of a job that nobody submits.
const UNKNOWN_ID: &str = "j-990000";

impl World {
    /// Sends an odd request now and then: repeats the submission of an open or ended job, also
    /// with other fields, repeats a cancellation, polls an unknown job, or submits a job that
    /// fits no machine or lacks a field.
    pub(in crate::world) fn send_odd_requests(&mut self) {
        if !self.requests.odd_requests || (self.requests.draw)(STEPS_PER_ODD_REQUEST) != 0 {
            return;
        }
        // Only accepted jobs are chosen: before acceptance, a repeated submission with other
        // fields could become the job's first one.
        let any_accepted =
            |answers: &Vec<Answer>| answers.iter().any(|answer| answer.response.is_accepted());
        let known = self
            .requests
            .answered
            .iter()
            .filter(|(_, all)| any_accepted(all));
        let known: Vec<String> = known.map(|(id, _)| id.clone()).collect();
        let i = self.requests.draw_index(self.controllers.len());
        let choice = (self.requests.draw)(8);
        let at = self.requests.draw_index(known.len().max(1));
        let Some(id) = known
            .get(at)
            .filter(|id| !self.requests.impossible.contains(*id))
        else {
            return;
        };
        let Some(spec) = self.submitted(id).cloned() else {
            return;
        };
        match choice {
            0 | 1 => drop(self.request_once(i, id, Question::Submit(body(&spec)))),
            2 => self.submit_with_other_fields(i, spec),
            3 if self.asked_to_cancel(id) => drop(self.request_once(i, id, Question::Cancel)),
            4 => drop(self.request_once(i, UNKNOWN_ID, Question::Poll)),
            5 | 6 => self.submit_impossible(i, spec),
            7 => self.submit_incomplete(i, &spec),
            _ => {}
        }
    }

    fn submit_with_other_fields(&mut self, i: usize, mut spec: JobSpec) {
        (spec.task_count, spec.cores) = (spec.task_count + 3, 0.5);
        self.request_once(i, &spec.id, Question::Submit(body(&spec)));
    }

    fn impossible_id(&self) -> String {
        format!(
            "j-{:06}",
            FIRST_IMPOSSIBLE_ID + self.requests.last_request_number
        )
    }

    /// Submits a job that fits no machine, or whose team does not exist.
    fn submit_impossible(&mut self, i: usize, mut spec: JobSpec) {
        spec.id = self.impossible_id();
        match (self.requests.draw)(4) {
            0 => spec.cores = 64.0,
            1 => spec.team = "nobody".into(),
            2 => spec.machine_types = Some(vec!["m99".into()]),
            _ => spec.zone = Some("nowhere".into()),
        }
        self.requests.impossible.insert(spec.id.clone());
        self.request_until_answered(i, &spec.id, Question::Submit(body(&spec)));
    }

    /// Submits a job that lacks a field.
    fn submit_incomplete(&mut self, i: usize, spec: &JobSpec) {
        let mut value = serde_json::to_value(spec).expect("a job");
        let id = self.impossible_id();
        value["id"] = id.clone().into();
        let fields = ["cores", "pieces", "rank", "owner", "together"];
        let field = fields[self.requests.draw_index(fields.len())];
        value.as_object_mut().expect("an object").remove(field);
        self.requests.impossible.insert(id.clone());
        let text = value.to_string().into_bytes();
        self.request_until_answered(i, &id, Question::Submit(text));
    }
}

fn body(spec: &JobSpec) -> Vec<u8> {
    serde_json::to_vec(spec).expect("a job")
}
