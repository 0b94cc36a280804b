//! One set of commands as a template of jobs.

use crate::error::{Place, SubmitError, Warning};
use crate::translate::{Commands, Options, decides};
use cherryyard_classad::{Ad, Expr, Names, Scope as Match, Value, fold};
use cherryyard_wire::condor::{NO_ID, Template};
use cherryyard_wire::job::{JobSpec, Rank, Shape};
use cherryyard_wire::rules::{MAX_EXPRESSION, Rules};

/// Memory of a job that asks for none, as published, in MB.
const MEMORY_MB: f64 = 128.0;

/// One job's commands.
pub(crate) struct Job<'a> {
    pub(crate) commands: &'a Commands,
    pub(crate) place: &'a Place,
    pub(crate) options: &'a Options,
}

type Read<T> = Result<T, Box<SubmitError>>;

impl Job<'_> {
    fn get(&self, name: &str) -> Option<(&Place, &str)> {
        let (place, text) = self.commands.get(name)?;
        let text = text.trim();
        (!text.is_empty()).then_some((place, text))
    }

    fn bad(&self, name: &str, what: impl std::fmt::Display) -> Box<SubmitError> {
        let place = self.commands.get(name).map_or(self.place, |c| &c.0);
        place.error(format!("{name}: {what}"))
    }

    fn parse(&self, name: &str, text: &str, names: &mut Names) -> Read<Expr> {
        Expr::parse(text, names).map_err(|e| {
            let mut error = self.bad(name, &e.what);
            // To the column, where the text stands in the file as it is.
            let place = &self.commands[name].0;
            let here = place.file.text.get(place.at..).unwrap_or("");
            if e.line == 1
                && let Some(at) = here.find(text)
            {
                let chars = text.char_indices().nth(e.column - 1);
                let at = place.at + at + chars.map_or(text.len(), |c| c.0);
                let spot = Place {
                    file: place.file.clone(),
                    at: at.min(place.file.text.len()),
                    len: 1,
                };
                error = spot.error(format!("{name}: {}", e.what));
            }
            error
        })
    }

    /// A number of `unit` bytes each, with K, M, G or T after it if others are meant.
    fn bytes(&self, name: &str, unit: f64, ad: &Ad, names: &mut Names) -> Read<Option<f64>> {
        let Some((_, text)) = self.get(name) else {
            return Ok(None);
        };
        let lower = text.to_ascii_lowercase();
        let bare = lower.trim_end_matches('b').trim_end_matches('i').trim_end();
        let digits = bare.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let factor = match &bare[digits.len()..] {
            "" => Some(if lower.ends_with('b') { 1.0 } else { unit }),
            "k" => Some(1024.0),
            "m" => Some(1024f64.powi(2)),
            "g" => Some(1024f64.powi(3)),
            "t" => Some(1024f64.powi(4)),
            _ => None,
        };
        let number = digits.trim().parse::<f64>().ok();
        let bytes = match (number, factor) {
            (Some(number), Some(factor)) => number * factor,
            _ => self.number(name, text, ad, names)? * unit,
        };
        if !(bytes.is_finite() && bytes >= 0.0) {
            return Err(self.bad(name, "must be 0 or more"));
        }
        Ok(Some(bytes))
    }

    /// An expression that the job alone decides, as a number.
    fn number(&self, name: &str, text: &str, ad: &Ad, names: &mut Names) -> Read<f64> {
        let expr = self.parse(name, text, names)?;
        let scope = Match {
            my: ad,
            target: None,
            now: 0,
        };
        let value = scope.evaluate(&expr);
        value.real().filter(|x| x.is_finite()).ok_or_else(|| {
            self.bad(
                name,
                format!("must be a number that the job alone decides, and is {value}"),
            )
        })
    }

    /// What the commands come to.
    pub(crate) fn template(&self, warnings: &mut Vec<Warning>) -> Read<Template> {
        if let Some((_, universe)) = self.get("universe") {
            let known = ["vanilla", "container", "docker", "5"];
            if !known.contains(&universe.to_ascii_lowercase().as_str()) {
                return Err(self.bad("universe", format!("{universe} is not supported")));
            }
        }
        for (name, (place, text)) in self.commands.iter().filter(|c| c.1.1.contains("$$(")) {
            if decides(name) {
                return Err(self.bad(name, "$$(...) is not known before a machine is chosen"));
            }
            let what = format!("{name}: `{}` stays as it is", text.trim());
            warnings.push(place.warning(what));
        }
        let mut names = Names::default();
        let mut ad = Ad::default();
        let own = |name: &str| -> Option<(String, &str)> {
            let key = self.commands.keys().find(|k| {
                k.strip_prefix('+')
                    .is_some_and(|k| k.eq_ignore_ascii_case(name))
            })?;
            Some((key.clone(), self.get(key)?.1))
        };
        for (name, (_, text)) in self.commands {
            if let Some(attribute) = name.strip_prefix('+') {
                let expr = self.parse(name, text.trim(), &mut names)?;
                let index = names.intern(attribute);
                ad.set(index, expr);
            }
        }
        let cores = match self.get("request_cpus") {
            Some((_, text)) => self.number("request_cpus", text, &ad, &mut names)?,
            None => 1.0,
        };
        if cores <= 0.0 {
            return Err(self.bad("request_cpus", "must be above 0"));
        }
        let gpus = match self.get("request_gpus") {
            Some((_, text)) => self.number("request_gpus", text, &ad, &mut names)?,
            None => 0.0,
        };
        const MB: f64 = 1024.0 * 1024.0;
        let memory = self
            .bytes("request_memory", MB, &ad, &mut names)?
            .unwrap_or(MEMORY_MB * MB);
        let disk = self.bytes("request_disk", 1024.0, &ad, &mut names)?;
        if disk.is_some() {
            let place = &self.commands["request_disk"].0;
            warnings.push(place.warning(
                "request_disk counts only where requirements compare RequestDisk with an attribute of machines",
            ));
        }
        let group = self
            .get("accounting_group")
            .map(|g| g.1.trim_matches('"').to_string());
        let team = group
            .as_deref()
            .and_then(|g| g.split('.').next())
            .map(str::to_string);
        let Some(team) = team.or_else(|| self.options.team.clone()) else {
            let error = self
                .place
                .error("accounting_group is missing: no team is named");
            return Err(error.with_help("say `accounting_group = TEAM`, or give --team"));
        };
        let priority = match self.get("priority") {
            Some((_, text)) => self.number("priority", text, &ad, &mut names)?,
            None => 0.0,
        };
        if priority > 0.0 {
            let place = &self.commands["priority"].0;
            warnings.push(
                place.warning("priority above 0 is taken as 0: it would stop other teams' work"),
            );
        }
        let flag = |name: &str| -> Read<bool> {
            let Some((key, text)) = own(name) else {
                return Ok(false);
            };
            match text.to_ascii_lowercase().as_str() {
                "true" => Ok(true),
                "false" => Ok(false),
                _ => Err(self.bad(&key, "must be true or false")),
            }
        };
        let nice = self
            .get("nice_user")
            .is_some_and(|n| n.1.eq_ignore_ascii_case("true"));
        let image = self.get("container_image").or(self.get("docker_image"));
        let executable = self.get("executable");
        let Some((_, bundle)) = image.or(executable) else {
            let error = self.place.error("executable is missing");
            return Err(error.with_help("name an executable or a container_image"));
        };
        let mut amount = |name: &str| -> Read<Option<f64>> {
            let Some((key, text)) = own(name) else {
                return Ok(None);
            };
            let x = self.number(&key, text, &ad, &mut names)?;
            if x < 0.0 {
                Err(self.bad(&key, "must be 0 or more"))
            } else {
                Ok(Some(x))
            }
        };
        let text = |name: &str| own(name).map(|t| t.1.trim_matches('"').to_string());
        let spec = JobSpec {
            id: NO_ID.into(),
            job_class: text("JobClass").unwrap_or_else(|| "condor".into()),
            team: team.clone(),
            shape: Shape::Array,
            rank: if priority < 0.0 || nice {
                Rank::BestEffort
            } else {
                Rank::Standard
            },
            task_count: 1,
            cores,
            accelerators: gpus,
            ram_gb: memory / 1024f64.powi(3),
            image: bundle.trim_matches('"').to_string(),
            image_gb: amount("ImageGB")?.unwrap_or(0.0),
            machine_types: None,
            zone: None,
            together: flag("Together")?,
            apart: flag("Apart")?,
            spot: flag("WantSpot")?,
            expected_s: amount("ExpectedSeconds")?.unwrap_or(0.0),
            snapshot_every_s: amount("CheckpointSeconds")?.unwrap_or(0.0),
            snapshot_cost_s: amount("CheckpointCostSeconds")?.unwrap_or(0.0),
            due_s: amount("DueSeconds")?,
            waits_on: Vec::new(),
        };
        spec.check().map_err(|e| self.place.error(e.to_string()))?;
        let mut set = |name: &str, value: Value| {
            let index = names.intern(name);
            if ad.get(index).is_none() {
                ad.set_value(index, value);
            }
        };
        let number = |x: f64| {
            if x.fract() == 0.0 {
                Value::Int(x as i64)
            } else {
                Value::Real(x)
            }
        };
        set("RequestCpus", number(cores));
        set("RequestGPUs", number(gpus));
        set("RequestMemory", number((memory / MB).ceil()));
        if let Some(d) = disk {
            set("RequestDisk", number((d / 1024.0).ceil()));
        }
        set("JobPrio", number(priority));
        set("JobUniverse", Value::Int(5));
        set(
            "AccountingGroup",
            Value::text(group.as_deref().unwrap_or(&team)),
        );
        if let Some((_, user)) = self.get("accounting_group_user") {
            set("AcctGroupUser", Value::text(user));
            set("Owner", Value::text(user));
        }
        if let Some((_, cmd)) = executable {
            set("Cmd", Value::text(cmd));
        }
        let rules = Rules {
            pools: Vec::new(),
            requirements: self.rule("requirements", &ad, &mut names)?,
            rank: self.rule("rank", &ad, &mut names)?,
        };
        let rules = Some(rules).filter(|r| !r.is_empty());
        Ok(Template { spec, rules })
    }

    /// An expression over machines, with what the job alone decides folded in.
    fn rule(&self, name: &str, ad: &Ad, names: &mut Names) -> Read<Option<String>> {
        let Some((_, text)) = self.get(name) else {
            return Ok(None);
        };
        let expr = self.parse(name, text, names)?;
        let folded = fold(&expr, ad);
        if let Some(value) = folded.as_constant() {
            return match (name, value.truth()) {
                ("rank", _) | (_, Some(true)) => Ok(None),
                _ => Err(self.bad(name, format!("is {value} whatever the machine"))),
            };
        }
        if !folded.is_of_target() {
            return Err(self.bad(name, "cannot be told apart from the job's own nested ads"));
        }
        let printed = folded.print(names);
        if printed.len() > MAX_EXPRESSION {
            return Err(self.bad(name, format!("comes to more than {MAX_EXPRESSION} bytes")));
        }
        Ok(Some(printed))
    }
}
