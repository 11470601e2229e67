package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simSlots    = 200 // Tasks that can run at once, of a core each.
	simTasks    = 8   // Tasks of a job.
	simTaskMs   = 640
	simWithinMs = 600 + simTaskMs*16/10
	simStepMs   = 10
	simEndMs    = 30_000
	simRetries  = 4
	// simCapacity is the number of jobs per second for which there is capacity.
	simCapacity = 1000.0 * simSlots / simTasks / simTaskMs
	calmRate    = 0.6 // Of the capacity, by the customers within their shares.
	hotShare    = 0.2 // Of the capacity, what the hot customer is entitled to.
)

// simJob is a job in the simulation of one cell. Its tasks are alike.
type simJob struct {
	id        string
	overShare bool
	dueMs     int
	waiting   int
	unended   int
	tries     int
}

// simulation is a cell with a hot customer that takes the load to a multiple of the capacity.
type simulation struct {
	random   *rand.Rand
	admits   bool // Decide is asked; otherwise every job is accepted.
	nowMs    int
	running  int
	within   []*simJob
	over     []*simJob
	returns  map[int][]*simJob // By the time at which the clients come back.
	ends     map[int][]*simJob // By the time at which a task ends.
	refusals Refusals
	// inTime counts the jobs that were done in time, calmLate the others of customers within their shares.
	inTime, calmLate, refused int
}

func simulate(seed uint64, load float64, admits bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, seed)), admits: admits, returns: map[int][]*simJob{}, ends: map[int][]*simJob{}}
	credit := 0.0
	for ; s.nowMs < simEndMs; s.nowMs += simStepMs {
		for _, j := range s.ends[s.nowMs] {
			s.endTask(j)
		}
		for _, j := range s.returns[s.nowMs] {
			s.submit(j)
		}
		for number := range 3 {
			if s.random.Float64() >= load*simCapacity*simStepMs/1000/3 {
				continue
			}
			j := &simJob{id: fmt.Sprintf("%d-%d", s.nowMs, number)}
			if s.random.Float64()*load >= calmRate {
				if credit += hotShare / max(hotShare, load-calmRate); credit < 1 {
					j.overShare = true
				} else {
					credit--
				}
			}
			s.submit(j)
		}
		s.place()
	}
	return s
}

func (s *simulation) submit(j *simJob) {
	job := Job{ID: j.id, Customer: "hot", WithinMs: simWithinMs, PathMs: simTaskMs, MinPathMs: simTaskMs * 6 / 10, CPU: simTasks * 1000, OverShare: j.overShare}
	queue := Queue{FreeCPU: (simSlots - s.running) * 1000, FreedCPUPerMs: simSlots * 1000.0 / simTaskMs, Entitled: int(math.Round(hotShare * simCapacity)), Refused: s.refusals.Count(time.UnixMilli(int64(s.nowMs)), "hot")}
	for _, other := range s.within {
		queue.AheadCPU += other.waiting * 1000
	}
	for _, other := range s.over {
		if j.overShare && s.nowMs+simTaskMs <= other.dueMs {
			queue.AheadCPU += other.waiting * 1000
		}
	}
	if verdict := Decide(job, queue); s.admits && !verdict.Accept {
		s.refused++
		s.refusals.Add(time.UnixMilli(int64(s.nowMs)), job, 0)
		if j.tries++; j.tries <= simRetries {
			at := (s.nowMs + verdict.RetryAfterMs) / simStepMs * simStepMs
			s.returns[at] = append(s.returns[at], j)
		}
		return
	}
	s.refusals.Remove(j.id)
	j.dueMs, j.waiting, j.unended = s.nowMs+simWithinMs, simTasks, simTasks
	if j.overShare {
		s.over = append(s.over, j)
	} else {
		s.within = append(s.within, j)
	}
}

// place starts tasks, those of jobs over their shares last, and late ones last among those.
func (s *simulation) place() {
	s.within = s.placeAll(s.within, func(*simJob) bool { return true })
	s.over = s.placeAll(s.over, func(j *simJob) bool { return s.nowMs+simTaskMs <= j.dueMs })
	s.over = s.placeAll(s.over, func(*simJob) bool { return true })
}

func (s *simulation) placeAll(jobs []*simJob, eligible func(*simJob) bool) (left []*simJob) {
	for _, j := range jobs {
		for eligible(j) && j.waiting > 0 && s.running < simSlots {
			j.waiting--
			s.running++
			end := (s.nowMs + int(float64(simTaskMs)*(0.7+0.6*s.random.Float64()))) / simStepMs * simStepMs
			s.ends[end] = append(s.ends[end], j)
		}
		if j.waiting > 0 {
			left = append(left, j)
		}
	}
	return left
}

func (s *simulation) endTask(j *simJob) {
	s.running--
	if j.unended--; j.unended > 0 {
		return
	}
	if s.nowMs <= j.dueMs {
		s.inTime++
	} else if !j.overShare {
		s.calmLate++
	}
}

// TestFittingLoadIsNeverRefused guards against refusals while there is capacity for all work.
func TestFittingLoadIsNeverRefused(t *testing.T) {
	for seed := range uint64(20) {
		if s := simulate(seed, 0.75, true); s.refused > 0 {
			t.Errorf("seed %d: %d refusals", seed, s.refused)
		}
	}
}

// TestOverloadKeepsWorkInTime guards against an overload in which most work is late: it has to stay at 0.8
// of what is in time without one, also when the refused clients come back.
func TestOverloadKeepsWorkInTime(t *testing.T) {
	for _, load := range []float64{1.5, 3, 6} {
		for seed := range uint64(4) {
			calm, overloaded := simulate(seed, 0.95, true), simulate(seed, load, true)
			if seed == 0 {
				unrefused := simulate(seed, load, false)
				t.Logf("load %.1f: %d in time, %d refusals, %d late within shares; without refusals %d in time, %d late; at load 0.95 %d in time",
					load, overloaded.inTime, overloaded.refused, overloaded.calmLate, unrefused.inTime, unrefused.calmLate, calm.inTime)
			}
			if overloaded.inTime*10 < calm.inTime*8 {
				t.Errorf("load %.1f seed %d: %d jobs in time, %d without overload", load, seed, overloaded.inTime, calm.inTime)
			}
		}
	}
}
