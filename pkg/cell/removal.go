package cell

import (
	"fmt"
	"strings"
)

// removalReason says by what the owner took a run for ended that has not ended by a result of its endpoint.
type removalReason int

const (
	// removedUnlisted: a poll doesn't list a run that was confirmed.
	removedUnlisted removalReason = iota
	// removedAfterStop: the start was not answered, the endpoint has accepted a stop, and a later poll doesn't list the run.
	removedAfterStop
	// removedInherited: the first answered poll of this owner doesn't list a run that an earlier owner recorded.
	removedInherited
	// removedOtherLife: another life has answered a poll under the ID of the run's life.
	removedOtherLife
	// removedOtherAddress: a call to the run's life was answered by another life at its address.
	removedOtherAddress
	// removedByBoxList: the platform's list of boxes doesn't have the run's life.
	removedByBoxList
	// removedByPlanner: the planner's list of boxes doesn't have the run's life.
	removedByPlanner
	// removedKept: the run was kept for a later life, and its lease has expired.
	removedKept
	// removedLapsed: the run's lease has expired while its endpoint was out of reach.
	removedLapsed
	// removedRefused: the life that was called, or another one in its place, has refused the start.
	removedRefused
	// removedNotSent: no connection was had for the start.
	removedNotSent
	// removedDropped: the start was not requested, since by then it must not be sent any more.
	removedDropped
	// removedJobRefused: the run's job was refused before it was recorded.
	removedJobRefused
)

// removalReasons holds, by reason, its text for log lines and its counter.
var removalReasons = [...]struct {
	text    string
	counter func(*Stats) *int
}{
	removedUnlisted:     {"a poll doesn't list it", func(s *Stats) *int { return &s.Removals.Unlisted }},
	removedAfterStop:    {"a poll after its stop doesn't list it", func(s *Stats) *int { return &s.Removals.AfterStop }},
	removedInherited:    {"the first poll doesn't list it", func(s *Stats) *int { return &s.Removals.Inherited }},
	removedOtherLife:    {"another life answers under the ID", func(s *Stats) *int { return &s.Removals.OtherLife }},
	removedOtherAddress: {"another life answers at the address", func(s *Stats) *int { return &s.Removals.OtherAddress }},
	removedByBoxList:    {"the platform's list of boxes does not have its life", func(s *Stats) *int { return &s.Removals.ByBoxList }},
	removedByPlanner:    {"the planner's list of boxes does not have its life", func(s *Stats) *int { return &s.Removals.ByPlanner }},
	removedKept:         {"it was kept for a later life and its lease has expired", func(s *Stats) *int { return &s.Removals.Kept }},
	removedLapsed:       {"its lease has expired", func(s *Stats) *int { return &s.RunsLapsed }},
	removedRefused:      {"its start was refused", func(s *Stats) *int { return &s.StartsRefused }},
	removedNotSent:      {"its start was not sent", func(s *Stats) *int { return &s.Removals.NotSent }},
	removedDropped:      {"its start must not be sent any more", func(s *Stats) *int { return &s.Removals.Dropped }},
	removedJobRefused:   {"its job was refused", func(s *Stats) *int { return &s.Removals.JobRefused }},
}

// Removals counts the runs that were removed without a result of their endpoints, by what the owner went by.
// Stats.RunsLapsed and Stats.StartsRefused count the others of them.
type Removals struct {
	// Unlisted counts confirmed runs, AfterStop runs whose starts were not answered and that were stopped, and Inherited
	// runs of earlier owners that a poll didn't list.
	Unlisted  int
	AfterStop int
	Inherited int
	// OtherLife counts runs of lives in whose place another one answered a poll under the ID, and OtherAddress those of
	// lives at whose address a call was answered by another one.
	OtherLife    int
	OtherAddress int
	// ByBoxList and ByPlanner count runs of lives that the platform's or the planner's list of boxes didn't have.
	ByBoxList int
	ByPlanner int
	// Kept counts runs that were kept for a later life until their leases had expired.
	Kept int
	// NotSent counts starts for which no connection was had, and Dropped those that were not requested any more.
	NotSent int
	Dropped int
	// JobRefused counts runs whose jobs were refused before they were recorded.
	JobRefused int
}

// removal is the reason for which a run is removed, and the source that the owner goes by: a poll, the reply to a call, a
// list or its own bound.
type removal struct {
	reason removalReason
	source string
}

// noteRemoval counts and remembers that a run is removed without a result of its endpoint. It returns what the owner went by
// and what it knew of the run and its endpoint, for a log line. It must be called before the run is removed.
func (c *Cell) noteRemoval(r *run, by removal) string {
	reason := removalReasons[by.reason]
	*reason.counter(&c.stats)++
	parts := []string{by.source, reason.text, c.describeStart(r)}
	if r.stopping {
		parts = append(parts, c.describeStop(r))
	}
	text := strings.Join(append(parts, c.describeLife(r.endpoint)), "; ")
	c.recentRemovals.add(removedRun{run: r.id(), life: r.endpoint.info.Life, at: c.now, text: text})
	return text
}

// logRemoval logs a removal for which there is no other line. Many runs may be removed like that at a time.
func (c *Cell) logRemoval(r *run, by removal) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: "run removed", Job: r.task.phase.job().id, Task: r.id().Task.String(), Endpoint: r.endpoint.info.Life.String(), Debug: true,
		Reason: c.noteRemoval(r, by),
	})
}

// describeStart says for log lines what is known of whether and since when a run exists.
func (c *Cell) describeStart(r *run) string {
	text := fmt.Sprintf("attempt %d, %s", r.attempt, runStateNames[r.state])
	if !r.confirmedAt.IsZero() {
		text += fmt.Sprintf(" since %d ms ago", c.now.Sub(r.confirmedAt).Milliseconds())
	}
	if !r.lastListedAt.IsZero() {
		text += fmt.Sprintf(", last listed %d ms ago", c.now.Sub(r.lastListedAt).Milliseconds())
	}
	sinceStart := c.now.Sub(r.startedAt).Milliseconds()
	switch {
	case r.inherited:
		return text + fmt.Sprintf(", loaded %d ms ago, recorded as sent %t", sinceStart, r.recordedSent)
	case r.state == runPending:
		return text + fmt.Sprintf(", decided %d ms ago", sinceStart)
	case r.isOn(r.startSentTo):
		return text + fmt.Sprintf(", start sent %d ms ago", sinceStart)
	}
	return text + fmt.Sprintf(", start sent %d ms ago to %s", sinceStart, r.startSentTo)
}

// describeStop says for log lines why a run was to be stopped, and how far that is.
func (c *Cell) describeStop(r *run) string {
	if r.stopsSent == 0 {
		return "to be stopped (" + r.stopReason + ")"
	}
	text := fmt.Sprintf("to be stopped (%s), stops sent %d, the last one %d ms ago", r.stopReason, r.stopsSent, c.now.Sub(r.stopSentAt).Milliseconds())
	if !r.isOn(r.stopSentTo) {
		text += " to " + r.stopSentTo.String()
	}
	return text + fmt.Sprintf(", confirmed %t", r.stopConfirmed)
}

// describeLife says for log lines for how long an endpoint has been known and when it answered.
func (c *Cell) describeLife(e *endpoint) string {
	text := fmt.Sprintf("its life known for %d ms, ", c.now.Sub(e.knownSince).Milliseconds())
	if e.attached {
		text += fmt.Sprintf("attached for %d ms, ", c.now.Sub(e.attachedAt).Milliseconds())
	}
	if e.silent {
		text += fmt.Sprintf("silent for %d ms, ", c.now.Sub(e.silentSince).Milliseconds())
	}
	return text + c.lastAnswer(e)
}

// pollSource describes a poll as the source of a removal.
func (c *Cell) pollSource(sent *sentPoll) string {
	text := fmt.Sprintf("poll %d, sent %d ms ago", sent.number, c.now.Sub(sent.sentAt).Milliseconds())
	if sent.overdue {
		text += " and once more since"
	}
	return text
}

// leaseSource describes the bound of an endpoint's leases as the source of a removal.
func (c *Cell) leaseSource(e *endpoint) string {
	return fmt.Sprintf("the bound of its lease passed %d ms ago", e.leases.ExpiredFor(c.now).Milliseconds())
}

// unlistedRemoval returns why a run is removed that a poll doesn't list although it must.
func (c *Cell) unlistedRemoval(r *run, sent *sentPoll) removal {
	by := removal{reason: removedUnlisted, source: c.pollSource(sent)}
	switch r.state {
	case runUnverified:
		by.reason = removedInherited
	case runUncertain:
		by.reason = removedAfterStop
	}
	return by
}
