//! Finds segments of prompts that crash runners, whatever else the requests hold.
//!
//! Every crash is evidence against all segments that the runner's requests may share with
//! others. A whole answer that began after a crash acquits its segments of it. A segment
//! that is left in enough crashes is refused, after the other routers were asked for such
//! answers.
//!
//! The load it answers: a segment that crashes each runner that begins to answer a request
//! with it. Such requests come at every router several times a second, no two alike, among
//! sound ones that have their other segments in common.

use std::time;

use lentil_types::{Instant, Table};

use crate::forward::runners::{Incarnation, SegmentId};

/// Settings of a [`CrashBlame`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Crashes after which a segment is refused if it alone explains so many, and
    /// [`Self::min_share`] of all since its first one.
    pub sole_crashes: usize,
    /// The same for segments that explain equally many.
    pub tied_crashes: usize,
    /// Crashes after which a segment is refused in any case.
    pub max_crashes: usize,
    /// Crashes after which a refused segment is not tried any more. Below, the evidence
    /// may be chance.
    pub firm_crashes: usize,
    /// Time from the last crash of a refused segment until one request tries it, and
    /// between two such requests: time for the outcome of one to be known everywhere.
    pub trial_interval: time::Duration,
    /// Share of the crashes since its first one that a segment must explain: where
    /// runners die of other causes, a rare segment is there a few times by chance.
    pub min_share: f64,
    /// Crashes within this time count as one. Whole racks of runners die at once of
    /// causes that are no request.
    pub crash_window: time::Duration,
    /// Time for other routers to answer a question: several round trips between regions.
    pub question_timeout: time::Duration,
    /// How long a crash is evidence, and how long a segment is refused after its last
    /// crash.
    pub retention: time::Duration,
    /// Interval at which other routers are told again of a segment that requests still
    /// ask for.
    pub notice_interval: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            sole_crashes: 3,
            tied_crashes: 4,
            max_crashes: 5,
            firm_crashes: 5,
            trial_interval: time::Duration::from_secs(2),
            min_share: 0.4,
            crash_window: time::Duration::from_millis(200),
            question_timeout: time::Duration::from_millis(250),
            retention: time::Duration::from_secs(600),
            notice_interval: time::Duration::from_secs(1),
        }
    }
}

/// Most crashes that are kept as evidence; the oldest are dropped first.
const MAX_CRASHES: usize = 128;
/// Most segments kept of one crash.
const MAX_SEGMENTS: usize = 512;
/// Most segments whose last whole answer is remembered.
const MAX_SURVIVED: usize = 4_096;
/// Most segments refused at once.
const MAX_REFUSED: usize = 256;

#[derive(Clone, Debug)]
struct Crash {
    incarnation: Incarnation,
    crashed_at: Instant,
    /// Segments that no later answer has acquitted, sorted.
    segments: Vec<SegmentId>,
}

/// A segment that may crash runners, with the first crash that it may have caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The segment.
    pub segment: SegmentId,
    /// When the first of the runners died.
    pub since: Instant,
    /// Runners that died while requests with it ran.
    pub crashes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    since: Instant,
    until: Instant,
    /// Crashes that the segment may have caused.
    crashes: usize,
    last_crash: Instant,
    /// When this router last tried the segment.
    tried_at: Option<Instant>,
    /// When other routers were last told.
    noticed_at: Instant,
}

/// What follows from the evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Conclusions {
    /// Suspicions about which the other routers are to be asked.
    pub questions: Vec<Suspicion>,
    /// Segments that are refused from now on.
    pub refused: Vec<Suspicion>,
}

/// Evidence of crashes, and the segments that are refused because of it.
#[derive(Clone, Debug)]
pub struct CrashBlame {
    settings: Settings,
    /// Oldest first.
    crashes: Vec<Crash>,
    /// When the last whole answer with a segment began.
    survived: Table<SegmentId, Instant>,
    /// Suspects, and since when the other routers are asked about them.
    asked: Table<SegmentId, Instant>,
    refused: Table<SegmentId, Refusal>,
    /// Whether there is evidence from which no conclusions were drawn yet.
    has_news: bool,
}

impl CrashBlame {
    /// Starts without evidence.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            crashes: Vec::new(),
            survived: Table::new(),
            asked: Table::new(),
            refused: Table::new(),
            has_news: false,
        }
    }

    /// A runner died at `crashed_at` while requests with these segments ran. Several
    /// routers may report one crash, each with the segments of its own requests. The latest
    /// report is right about the time: what ended before it had ended by itself.
    pub fn on_crash(
        &mut self,
        incarnation: &Incarnation,
        crashed_at: Instant,
        segments: impl IntoIterator<Item = SegmentId>,
    ) {
        let known = self.crashes.iter();
        let mut known = known.map(|crash| &crash.incarnation);
        let index = known.position(|known| known == incarnation);
        let index = index.unwrap_or_else(|| self.insert_crash(incarnation, crashed_at));
        let window = self.settings.crash_window;
        let crash = &mut self.crashes[index];
        self.has_news = true;
        if crashed_at.since(crash.crashed_at) > window {
            crash.crashed_at = crashed_at;
            crash.segments.clear();
        } else if crash.crashed_at.since(crashed_at) > window {
            return;
        }
        for segment in segments {
            let is_known = crash.segments.binary_search(&segment).is_ok();
            if let Some(refusal) = self.refused.get_mut(&segment).filter(|_| !is_known) {
                refusal.crashes += 1;
                refusal.last_crash = refusal.last_crash.max(crash.crashed_at);
            }
            let survived = self.survived.get(&segment);
            if survived.is_some_and(|at| *at > crash.crashed_at) {
                continue;
            }
            if let Err(index) = crash.segments.binary_search(&segment)
                && crash.segments.len() < MAX_SEGMENTS
            {
                crash.segments.insert(index, segment);
            }
        }
    }

    /// Returns the index of a new crash.
    fn insert_crash(&mut self, incarnation: &Incarnation, crashed_at: Instant) -> usize {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        let index = self
            .crashes
            .partition_point(|crash| crash.crashed_at <= crashed_at);
        let crash = Crash {
            incarnation: incarnation.clone(),
            crashed_at,
            segments: Vec::new(),
        };
        self.crashes.insert(index, crash);
        index
    }

    /// A whole answer with these segments began at `began_at`: had one of them crashed
    /// runners before, it would not be whole. Returns the segments that are not refused
    /// any more.
    pub fn on_survived(
        &mut self,
        began_at: Instant,
        segments: impl IntoIterator<Item = SegmentId>,
    ) -> Vec<SegmentId> {
        let mut allowed = Vec::new();
        for segment in segments {
            self.note_survived(segment, began_at);
            for crash in &mut self.crashes {
                if crash.crashed_at < began_at
                    && let Ok(index) = crash.segments.binary_search(&segment)
                {
                    crash.segments.remove(index);
                    self.has_news = true;
                }
            }
            let refusal = self.refused.get(&segment);
            if refusal.is_some_and(|refusal| refusal.since < began_at) {
                self.refused.remove(&segment);
                self.has_news = true;
                allowed.push(segment);
            }
        }
        allowed
    }

    fn note_survived(&mut self, segment: SegmentId, began_at: Instant) {
        if self.survived.len() >= MAX_SURVIVED {
            let mut times: Vec<_> = self.survived.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_SURVIVED / 2);
            let oldest = *median;
            self.survived.retain(|_, at| *at > oldest);
        }
        let known = self.survived.get_or_insert_with(segment, || began_at);
        *known = began_at.max(*known);
    }

    /// When the last whole answer with a segment began, if that was after a crash at
    /// `since`: it acquits the segment.
    pub fn acquittal(&self, segment: SegmentId, since: Instant) -> Option<Instant> {
        let survived = self.survived.get(&segment).copied();
        survived.filter(|at| *at > since)
    }

    /// Another router refuses a segment for `remaining`.
    pub fn on_refusal_notice(
        &mut self,
        now: Instant,
        suspicion: Suspicion,
        remaining: time::Duration,
    ) {
        let Suspicion { segment, since, .. } = suspicion;
        if self.acquittal(segment, since).is_none() {
            let until = now + remaining.min(self.settings.retention);
            self.refuse(now, suspicion, until);
        }
    }

    fn refuse(&mut self, now: Instant, suspicion: Suspicion, until: Instant) {
        let is_known = self.refused.contains(&suspicion.segment);
        if !is_known && self.refused.len() >= MAX_REFUSED {
            return;
        }
        let Suspicion {
            segment,
            since,
            crashes,
        } = suspicion;
        let refusal = self.refused.get_or_insert_with(segment, || Refusal {
            since,
            until,
            crashes,
            last_crash: now,
            tried_at: None,
            noticed_at: now,
        });
        refusal.until = refusal.until.max(until);
        refusal.crashes = refusal.crashes.max(crashes);
        self.asked.remove(&segment);
    }

    /// Draws the conclusions that are due. To be called after each piece of evidence and
    /// periodically.
    pub fn conclude(&mut self, now: Instant) -> Conclusions {
        let retention = self.settings.retention;
        self.crashes
            .retain(|crash| now.since(crash.crashed_at) <= retention);
        self.refused.retain(|_, refusal| refusal.until > now);
        let mut conclusions = Conclusions::default();
        if !std::mem::take(&mut self.has_news) && self.asked.is_empty() {
            return conclusions;
        }
        loop {
            let suspects = self.suspects();
            self.asked.retain(|segment, _| {
                let mut suspects = suspects.iter();
                suspects.any(|suspect| suspect.suspicion.segment == *segment)
            });
            for Suspect { suspicion, .. } in &suspects {
                if !self.asked.contains(&suspicion.segment) {
                    self.asked.insert(suspicion.segment, now);
                    conclusions.questions.push(*suspicion);
                }
            }
            let due = self.due_refusals(now, &suspects);
            if due.is_empty() {
                return conclusions;
            }
            for suspicion in due {
                self.refuse(now, suspicion, now + retention);
                conclusions.refused.push(suspicion);
            }
        }
    }

    /// Suspects with enough evidence about which the other routers have had time to
    /// answer.
    fn due_refusals(&self, now: Instant, suspects: &[Suspect]) -> Vec<Suspicion> {
        let Settings {
            sole_crashes,
            tied_crashes,
            max_crashes,
            min_share,
            question_timeout,
            ..
        } = self.settings;
        let needed = if suspects.len() == 1 {
            sole_crashes
        } else {
            tied_crashes
        };
        let is_due = |suspect: &&Suspect| {
            let explains_most = suspect.suspicion.crashes >= needed && suspect.share >= min_share;
            let asked_at = self.asked.get(&suspect.suspicion.segment);
            let is_answered = asked_at.is_some_and(|at| now.since(*at) >= question_timeout);
            is_answered && (explains_most || suspect.suspicion.crashes >= max_crashes)
        };
        let due = suspects.iter().filter(is_due);
        due.map(|suspect| suspect.suspicion).collect()
    }

    /// The segments that explain the most crashes which no refused segment explains. None
    /// below the number that is needed for a refusal.
    fn suspects(&self) -> Vec<Suspect> {
        let is_open = |crash: &&Crash| {
            let mut segments = crash.segments.iter();
            !segments.any(|segment| self.refused.contains(segment))
        };
        let window = self.settings.crash_window;
        let open: Vec<_> = self.crashes.iter().filter(is_open).collect();
        let mut counts: Table<SegmentId, CrashCount> = Table::new();
        for crash in &open {
            for segment in &crash.segments {
                let count = counts.get_or_insert_with(*segment, CrashCount::default);
                count.add(crash.crashed_at, window);
            }
        }
        let most = counts.values().map(|count| count.crashes).max();
        let most = most.filter(|most| *most >= self.settings.sole_crashes);
        let top = counts
            .iter()
            .filter(|(_, count)| Some(count.crashes) == most);
        let suspect = |(segment, count): (&SegmentId, &CrashCount)| {
            let mut all = CrashCount::default();
            let since = open.iter().filter(|crash| crash.crashed_at >= count.first);
            since.for_each(|crash| all.add(crash.crashed_at, window));
            Suspect {
                suspicion: Suspicion {
                    segment: *segment,
                    since: count.first,
                    crashes: count.crashes,
                },
                share: count.crashes as f64 / all.crashes as f64,
            }
        };
        top.map(suspect).collect()
    }

    /// The first of these segments that is refused, and for how long.
    pub fn refusal(
        &self,
        now: Instant,
        segments: impl IntoIterator<Item = SegmentId>,
    ) -> Option<(SegmentId, time::Duration)> {
        let mut segments = segments.into_iter();
        segments.find_map(|segment| {
            let refusal = self.refused.get(&segment)?;
            (refusal.until > now).then(|| (segment, refusal.until.since(now)))
        })
    }

    /// Whether a request may try a refused segment; counts it as sent. Routers take turns,
    /// so that about one such request runs at a time. The `rank` of a router is below
    /// the number of `routers`.
    pub fn try_trial(
        &mut self,
        now: Instant,
        segment: SegmentId,
        rank: usize,
        routers: usize,
    ) -> bool {
        let interval = self.settings.trial_interval;
        let Some(refusal) = self.refused.get_mut(&segment) else {
            return false;
        };
        let quiet = now.since(refusal.last_crash);
        if refusal.crashes >= self.settings.firm_crashes || quiet < interval {
            return false;
        }
        let turn = quiet.as_micros() / interval.as_micros().max(1);
        let was_tried = refusal.tried_at.is_some_and(|at| now.since(at) < interval);
        if turn % routers.max(1) as u128 != rank as u128 || was_tried {
            return false;
        }
        refusal.tried_at = Some(now);
        true
    }

    /// A request was refused because of a segment. Returns the suspicion if the other
    /// routers are to be told of it again now; they may have missed it.
    pub fn due_notice(&mut self, now: Instant, segment: SegmentId) -> Option<Suspicion> {
        let refusal = self.refused.get_mut(&segment)?;
        if now.since(refusal.noticed_at) < self.settings.notice_interval {
            return None;
        }
        refusal.noticed_at = now;
        Some(Suspicion {
            segment,
            since: refusal.since,
            crashes: refusal.crashes,
        })
    }

    /// Number of refused segments.
    pub fn refused_len(&self) -> usize {
        self.refused.len()
    }
}

/// A segment that explains crashes which no refused segment explains.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    suspicion: Suspicion,
    /// Share of the crashes since the first of them.
    share: f64,
}

/// Counts crashes in the order of their time; those within one window once.
#[derive(Clone, Copy, Debug, Default)]
struct CrashCount {
    crashes: usize,
    first: Instant,
    /// Begin of the current window.
    last: Instant,
}

impl CrashCount {
    fn add(&mut self, at: Instant, window: time::Duration) {
        if self.crashes == 0 {
            self.first = at;
        } else if at.since(self.last) < window {
            return;
        }
        self.crashes += 1;
        self.last = at;
    }
}
