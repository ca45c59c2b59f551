//! A model of an engine that prefills prompts in chunks, in order of arrival, between the tokens of its streams.

use teaselcroft_parts::Millis;

/// The duration of a step without prompt tokens, in milliseconds.
const STEP_MS: f64 = 5.61;

/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 54.6;

/// Prompt tokens that one step prefills at most.
const CHUNK_TOKENS: u32 = 4_096;

/// A request that an engine runs.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Its number in the played load.
    pub request: usize,
    /// Prompt tokens that are not prefilled yet.
    pub prefill_left: u32,
    /// Tokens that are not generated yet.
    pub output_left: u32,
}

/// What became of a run in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The prompt is prefilled and the first token generated.
    Began,
    /// The last token is generated.
    Ended,
}

/// One engine, whose steps follow each other without a pause while it has work.
#[derive(Debug, Default)]
pub struct Engine {
    runs: Vec<Run>,
    /// The end of the step that is under way, in milliseconds.
    step_end: f64,
}

impl Engine {
    /// Adds a request; its prompt is prefilled after those that came before.
    pub fn add(&mut self, run: Run, now: Millis) {
        if self.runs.is_empty() {
            self.step_end = now.0 as f64;
        }
        self.runs.push(run);
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, request: usize) {
        self.runs.retain(|run| run.request != request);
    }

    /// Takes the steps that end until `now`; returns the requests that began to answer or ended.
    pub fn advance(&mut self, now: Millis) -> Vec<(usize, Progress)> {
        let mut progress = Vec::new();
        while !self.runs.is_empty() && self.step_end <= now.0 as f64 {
            self.step(&mut progress);
        }
        progress
    }

    fn step(&mut self, progress: &mut Vec<(usize, Progress)>) {
        let mut chunk = CHUNK_TOKENS;
        for run in &mut self.runs {
            if run.prefill_left == 0 {
                run.output_left -= 1;
            } else {
                let prefilled = run.prefill_left.min(chunk);
                run.prefill_left -= prefilled;
                chunk -= prefilled;
                if run.prefill_left == 0 {
                    run.output_left -= 1;
                    progress.push((run.request, Progress::Began));
                }
            }
        }
        let ended = self.runs.iter().filter(|run| run.output_left == 0).map(|run| (run.request, Progress::Ended));
        progress.extend(ended);
        self.runs.retain(|run| run.output_left > 0);
        self.step_end += STEP_MS + f64::from(CHUNK_TOKENS - chunk) / PREFILL_TOKENS_PER_MS;
    }
}
