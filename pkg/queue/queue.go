// Package queue orders waiting requests: urgent work first, same-day work by
// its deadline, fair by weights between services and between teams. It is pure;
// the time is passed in.
package queue

import (
	"container/list"
	"time"

	"damsonwinch/pkg/wire"
)

// Item is one waiting request.
type Item struct {
	ID         string
	Service    string
	Customer   string
	Class      wire.Class
	EnqueuedAt time.Time
	Deadline   time.Time
	// Size is the number of slots it needs on one box.
	Size int
}

// Weights gives the shares of services and teams. Unknown ones weigh 1.
type Weights interface {
	Service(service string) int
	Customer(service, team string) int
}

// CanStart says whether an item may start now.
type CanStart func(item Item) bool

// ranks of waiting work, first served first.
const (
	rankUrgent = iota
	rankNormal
	rankSameDay
	rankCount
)

// Queue holds the waiting requests of one pool.
type Queue struct {
	weights  Weights
	services map[string]*line
	places   map[string]place
	clock    float64 // Virtual time of services.
}

// line holds one service's waiting requests.
type line struct {
	name   string
	used   float64 // Virtual time the service has used.
	length int
	ranks  [rankCount]tier
	clock  float64 // Virtual time of teams.
}

// tier holds one service's requests of one rank, by team.
type tier struct {
	teams map[string]*team
	order []string
}

type team struct {
	used  float64
	items *list.List
}

// place is where a waiting request stands.
type place struct {
	line    *line
	rank    int
	team    string
	element *list.Element
}

// New returns an empty queue.
func New(weights Weights) *Queue {
	return &Queue{weights: weights, services: map[string]*line{}, places: map[string]place{}}
}

// Len returns the number of waiting requests of a service.
func (q *Queue) Len(service string) int {
	if line := q.services[service]; line != nil {
		return line.length
	}
	return 0
}

// Total returns the number of all waiting requests.
func (q *Queue) Total() int {
	return len(q.places)
}

// Push adds a request at the end of its team's line.
func (q *Queue) Push(item Item) {
	service := q.services[item.Service]
	if service == nil {
		service = &line{name: item.Service}
		q.services[item.Service] = service
	}
	if service.length == 0 {
		// A service that was idle doesn't save up its share.
		service.used = max(service.used, q.clock)
	}
	q.insert(service, rankOf(item.Class), item)
}

func rankOf(class wire.Class) int {
	switch class {
	case wire.ClassUrgent:
		return rankUrgent
	case wire.ClassSameDay:
		return rankSameDay
	}
	return rankNormal
}

func (q *Queue) insert(service *line, rank int, item Item) {
	tier := &service.ranks[rank]
	if tier.teams == nil {
		tier.teams = map[string]*team{}
	}
	waiting := tier.teams[item.Customer]
	if waiting == nil {
		waiting = &team{used: service.clock, items: list.New()}
		tier.teams[item.Customer] = waiting
		tier.order = append(tier.order, item.Customer)
	}
	element := waiting.items.PushBack(item)
	service.length++
	q.places[item.ID] = place{line: service, rank: rank, team: item.Customer, element: element}
}

// Remove takes a waiting request out, and says whether it was there.
func (q *Queue) Remove(id string) bool {
	at, waits := q.places[id]
	if !waits {
		return false
	}
	q.unlink(at)
	delete(q.places, id)
	return true
}

func (q *Queue) unlink(at place) {
	tier := &at.line.ranks[at.rank]
	waiting := tier.teams[at.team]
	waiting.items.Remove(at.element)
	at.line.length--
	if waiting.items.Len() > 0 {
		return
	}
	delete(tier.teams, at.team)
	for i, name := range tier.order {
		if name == at.team {
			tier.order = append(tier.order[:i], tier.order[i+1:]...)
			return
		}
	}
}

// Last returns the request of a service that would be served last: the newest of
// its lowest rank's longest line.
func (q *Queue) Last(service string) (Item, bool) {
	line := q.services[service]
	if line == nil {
		return Item{}, false
	}
	for rank := rankCount - 1; rank > rankUrgent; rank-- {
		var longest *team
		for _, name := range line.ranks[rank].order {
			if waiting := line.ranks[rank].teams[name]; longest == nil || waiting.items.Len() > longest.items.Len() {
				longest = waiting
			}
		}
		if longest != nil {
			return longest.items.Back().Value.(Item), true
		}
	}
	return Item{}, false
}

// Pop removes and returns the next request that may start.
func (q *Queue) Pop(accepts CanStart) (Item, bool) {
	for rank := range rankCount {
		if item, found := q.popRank(rank, accepts); found {
			return item, true
		}
	}
	return Item{}, false
}

// popRank serves the service that has used least of its share, and within it
// the team that has.
func (q *Queue) popRank(rank int, accepts CanStart) (Item, bool) {
	tried := map[string]bool{}
	for {
		service := q.leastUsed(rank, tried)
		if service == nil {
			return Item{}, false
		}
		tried[service.name] = true
		item, at, found := q.first(service, rank, accepts)
		if !found {
			continue
		}
		q.unlink(at)
		delete(q.places, item.ID)
		q.charge(service, item)
		return item, true
	}
}

func (q *Queue) leastUsed(rank int, tried map[string]bool) *line {
	var least *line
	for _, service := range q.services {
		if tried[service.name] || len(service.ranks[rank].order) == 0 {
			continue
		}
		if least == nil || service.used < least.used || (service.used == least.used && service.name < least.name) {
			least = service
		}
	}
	return least
}

// first returns the head of the least served team whose head may start.
func (q *Queue) first(service *line, rank int, accepts CanStart) (Item, place, bool) {
	tier := &service.ranks[rank]
	best, found := "", false
	for _, name := range tier.order {
		head := tier.teams[name].items.Front().Value.(Item)
		if !accepts(head) {
			continue
		}
		if !found || tier.teams[name].used < tier.teams[best].used {
			best, found = name, true
		}
	}
	if !found {
		return Item{}, place{}, false
	}
	element := tier.teams[best].items.Front()
	return element.Value.(Item), place{line: service, rank: rank, team: best, element: element}, true
}

// charge counts a started request against its service's and team's shares.
func (q *Queue) charge(service *line, item Item) {
	size := float64(max(item.Size, 1))
	q.clock = max(q.clock, service.used)
	service.used += size / float64(max(q.weights.Service(item.Service), 1))
	for rank := range service.ranks {
		if waiting := service.ranks[rank].teams[item.Customer]; waiting != nil {
			service.clock = max(service.clock, waiting.used)
			waiting.used += size / float64(max(q.weights.Customer(item.Service, item.Customer), 1))
		}
	}
}

// PopExpired removes and returns the requests whose deadline has come.
func (q *Queue) PopExpired(now time.Time) []Item {
	var over []Item
	q.each(func(item Item, _ place) {
		if !now.Before(item.Deadline) {
			over = append(over, item)
		}
	})
	for _, item := range over {
		q.Remove(item.ID)
	}
	return over
}

// Age moves work that has waited long one rank up, so that a stream of better
// work can't starve it: past half of its time to normal, and to urgent when
// only lead is left. Lead is how long its service usually runs, with a margin.
func (q *Queue) Age(now time.Time, lead func(service string) time.Duration) int {
	var moved []Item
	var ranks []int
	q.each(func(item Item, at place) {
		if wanted := agedRank(item, now, lead(item.Service)); wanted < at.rank {
			moved = append(moved, item)
			ranks = append(ranks, wanted)
		}
	})
	for i, item := range moved {
		service := q.places[item.ID].line
		q.Remove(item.ID)
		q.insert(service, ranks[i], item)
	}
	return len(moved)
}

func agedRank(item Item, now time.Time, lead time.Duration) int {
	rank := rankOf(item.Class)
	left := item.Deadline.Sub(now)
	if left <= lead {
		return rankUrgent
	}
	if rank == rankSameDay && left <= item.Deadline.Sub(item.EnqueuedAt)/2 {
		return rankNormal
	}
	return rank
}

func (q *Queue) each(visit func(Item, place)) {
	for _, at := range q.places {
		visit(at.element.Value.(Item), at)
	}
}
