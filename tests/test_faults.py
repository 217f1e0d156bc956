"""Tests of the fault matrix: a quick subset of its cells, and proof that its checks can fail."""

from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength

from bench.clock import VirtualClock
from bench.faults import faults, steps
from bench.faults.__main__ import ExitStatus, _report
from bench.faults.cells import Cell, CellOutcome, run_cell
from bench.faults.checks import CHECKS, Finding
from bench.faults.faulty_site import EVENT_STEPS
from bench.faults.matrix import pair_cells, quick_cells, single_cells
from bench.faults.processes import Process, ProcessClock
from bench.faults.report import known_commands
from tests.utils import broken

SEED = 1
QUICK_PARTS = 4  # tests that share the quick subset, so that they can run in parallel

BROKEN_VARIANTS = (  # broken variant, check that must fail, step and fault of the cell
    (broken.repeat_any_request, "at most once", "unkeyed-answer", "cut-forward"),
    (broken.no_claim, "at most once", "keyed-answer", "kill-sender"),
    (broken.no_fence, "lost authority", "role-drain", "store-slow"),
    (broken.no_freshness_check, "lost authority", "role-ready", "freeze-receiver"),
    (broken.overlapping_orders, "conflicting orders", "role-drain", "store-slow"),
    (broken.order_without_drain, "planned changes", "role-drain", "store-slow"),
    (broken.accept_any_version, "configuration", "config-exchange", "delay"),
    (broken.ignore_later_versions, "configuration", "config-write", "delay"),
    (broken.report_always_not_run, "truthful refusals", "unkeyed-answer", "cut-forward"),
    (broken.no_sequence_check, "whole answers", "stream-middle", "reorder"),
    (broken.ignore_leaving, "leaving endpoints", "leave-begin", "cut-to-store"),
    (broken.no_drain, "graceful shutdowns", "stop-entry-part", "store-slow"),
    (broken.no_drain, "graceful shutdowns", "leave-part", "store-slow"),
    (broken.drop_patient_work, "endings", "plain-end", "store-slow"),
    (broken.drop_patient_work, "patient work", "plain-end", "store-slow"),
    (broken.keep_ended_dispatches, "leaks", "plain-end", "store-slow"),
)


class QuickMatrixTest(TestCase):
    """Guards against broken invariants in a sample of the cells; ``make faults`` runs all."""

    def check_quick_cells(self, part):
        known = known_commands()
        for cell in quick_cells(SEED)[part::QUICK_PARTS]:
            outcome = run_cell(cell)
            if cell.name not in known:
                self.assertThat(outcome.violations, Equals([]), cell.command)

    def test_quick_cells_1_of_4(self):
        self.check_quick_cells(0)

    def test_quick_cells_2_of_4(self):
        self.check_quick_cells(1)

    def test_quick_cells_3_of_4(self):
        self.check_quick_cells(2)

    def test_quick_cells_4_of_4(self):
        self.check_quick_cells(3)


class BrokenVariantTest(TestCase):
    """Guards against checks that can't fail."""

    def test_every_broken_variant_is_caught(self):
        """Guards against a check that passes although its safeguard is off."""
        for variant, check, step, fault in BROKEN_VARIANTS:
            with variant():
                outcome = run_cell(Cell(step=step, fault=fault, seed=SEED))
            self.assertTrue(outcome.findings[check].violations, f"{variant.__name__}: {check}")

    def test_every_check_has_a_broken_variant(self):
        """Guards against a check that nobody has seen fail."""
        caught = {check for _, check, _, _ in BROKEN_VARIANTS}
        self.assertThat(caught, Equals({one.name for one in CHECKS}))


class MatrixTest(TestCase):
    """Guards against steps and faults that are never combined."""

    def test_every_step_and_every_fault_is_run(self):
        cells = single_cells(SEED)
        self.assertThat({one.step for one in cells}, Equals(set(steps.STEPS_BY_NAME)))
        self.assertThat({one.fault for one in cells}, Equals(set(faults.FAULTS_BY_NAME)))

    def test_every_event_step_is_seen(self):
        """Guards against an event step that a run never reports as reached."""
        kinds = {one.kind for one in steps.STEPS if one.kind.startswith("event ")}
        self.assertThat(kinds, Equals({f"event {one.name}" for one in EVENT_STEPS}))

    def test_pairs_cover_every_step_and_every_pair_of_faults_but_a_few(self):
        cells = pair_cells(SEED)
        self.assertThat({one.step for one in cells}, Equals(set(steps.STEPS_BY_NAME)))
        pairs = {one.fault for one in cells}
        self.assertTrue(len(pairs) > 0.5 * len(faults.FAULTS_BY_NAME) ** 2, len(pairs))

    def test_a_step_that_is_not_reached_fails_its_cell(self):
        """Guards against a cell that passes because its fault was never injected."""
        outcome = CellOutcome(Cell(step="plain-end", fault="crash", seed=SEED))
        self.assertThat(outcome.passed, Equals(False))
        self.assertThat(outcome.violations, Contains("the step was not reached"))

    def test_unlisted_failure_sets_the_exit_status(self):
        """Guards against a run that succeeds although a failure is not listed as known."""
        outcome = CellOutcome(Cell(step="plain-end", fault="crash", seed=SEED))
        outcome.findings = {one.name: Finding() for one in CHECKS}
        self.assertThat(_report([outcome], table=False), Equals(ExitStatus.FAILED))
        outcome.reached = True
        self.assertThat(_report([outcome], table=False), Equals(ExitStatus.PASSED))

    def test_same_seed_gives_the_same_run(self):
        """Guards against failures that can't be replayed."""
        cell = Cell(step="stream-middle", fault="freeze-sender+flood-urgent", seed=SEED)
        first, second = run_cell(cell), run_cell(cell)
        self.assertThat(first.injected, Equals(second.injected))
        self.assertThat(first.injected, HasLength(2))


class ProcessTest(TestCase):
    """Guards against pauses that let timers fire, and kills that leave timers behind."""

    def setUp(self):
        super().setUp()
        self.base = VirtualClock()
        self.process = Process("p", self.base)
        self.clock = ProcessClock(self.process)
        self.seen = []

    def test_pause_holds_timers_and_messages_until_resume(self):
        self.clock.callLater(1, self.seen.append, "timer")
        cancelled = self.clock.callLater(1, self.seen.append, "cancelled")
        self.process.pause()
        self.base.run_until(2)
        self.process.run(self.seen.append, "message")
        self.assertThat(self.seen, Equals([]))
        cancelled.cancel()  # it has expired, but the process has not handled it
        self.process.resume()
        self.assertThat(self.seen, Equals(["timer", "message"]))

    def test_kill_drops_everything(self):
        self.clock.callLater(1, self.seen.append, "timer")
        self.process.pause()
        self.process.run(self.seen.append, "message")
        self.process.kill()
        self.process.resume()
        self.base.run_until(2)
        self.assertThat(self.seen, Equals([]))
        self.assertThat(self.process.timers, HasLength(0))
