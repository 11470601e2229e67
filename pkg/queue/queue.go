// Package queue orders the waiting requests of a pool: by rank, where urgent
// requests come first and same-day requests last, and within a rank by weighted
// fair queuing between services and between the customers of a service. It is
// pure; the time is passed in.
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
	// Size is the number of slots that the request needs on one box.
	Size int
}

// Weights returns the weights of services and, within a service, of customers. The
// weight of an unknown one is 1.
type Weights interface {
	Service(service string) int
	Customer(service, customer string) int
}

// CanStart reports whether a request may start now.
type CanStart func(item Item) bool

// Ranks of waiting requests, in the order in which they are served.
const (
	rankUrgent = iota
	rankNormal
	rankSameDay
	rankCount
)

// Queue holds the waiting requests of one pool.
type Queue struct {
	weights   Weights
	services  map[string]*serviceQueue
	positions map[string]position // By ID of the request.
	// virtualClock is the largest virtual time that a service had when one of its
	// requests was started.
	virtualClock float64
}

// serviceQueue holds the waiting requests of one service.
type serviceQueue struct {
	name string
	// virtualTime grows by size/weight with each request that is started. The
	// service with the smallest virtual time is served next.
	virtualTime float64
	length      int
	ranks       [rankCount]rankQueue
	// virtualClock is the largest virtual time that a customer had when one of its
	// requests of this service was started.
	virtualClock float64
}

// rankQueue holds a service's waiting requests of one rank, by customer.
type rankQueue struct {
	customers map[string]*customerQueue
	order     []string // Names of the customers, in order of their arrival.
}

// customerQueue holds a customer's waiting requests of one service and rank, in
// the order in which they were added.
type customerQueue struct {
	// virtualTime is to the customer what serviceQueue.virtualTime is to the service.
	virtualTime float64
	items       *list.List
}

// position is the place of a waiting request in the queue.
type position struct {
	service  *serviceQueue
	rank     int
	customer string
	element  *list.Element
}

// New returns an empty queue.
func New(weights Weights) *Queue {
	return &Queue{weights: weights, services: map[string]*serviceQueue{}, positions: map[string]position{}}
}

// Len returns the number of waiting requests of a service.
func (q *Queue) Len(service string) int {
	if waiting := q.services[service]; waiting != nil {
		return waiting.length
	}
	return 0
}

// Total returns the number of waiting requests of all services.
func (q *Queue) Total() int {
	return len(q.positions)
}

// Push adds a request behind the other requests of its customer, service and rank.
// Its class determines the rank.
func (q *Queue) Push(item Item) {
	service := q.services[item.Service]
	if service == nil {
		service = &serviceQueue{name: item.Service}
		q.services[item.Service] = service
	}
	if service.length == 0 {
		// A service gets no credit for the time in which nothing waited.
		service.virtualTime = max(service.virtualTime, q.virtualClock)
	}
	q.insert(service, rankOf(item.Class), item)
}

// rankOf returns the rank of a new request of a class.
func rankOf(class wire.Class) int {
	switch class {
	case wire.ClassUrgent:
		return rankUrgent
	case wire.ClassSameDay:
		return rankSameDay
	}
	return rankNormal
}

// insert adds a request at the end of its customer's queue of a service and rank.
func (q *Queue) insert(service *serviceQueue, rank int, item Item) {
	ranked := &service.ranks[rank]
	if ranked.customers == nil {
		ranked.customers = map[string]*customerQueue{}
	}
	waiting := ranked.customers[item.Customer]
	if waiting == nil {
		waiting = &customerQueue{virtualTime: service.virtualClock, items: list.New()}
		ranked.customers[item.Customer] = waiting
		ranked.order = append(ranked.order, item.Customer)
	}
	element := waiting.items.PushBack(item)
	service.length++
	q.positions[item.ID] = position{service: service, rank: rank, customer: item.Customer, element: element}
}

// Remove removes a waiting request and reports whether it was in the queue.
func (q *Queue) Remove(id string) bool {
	at, found := q.positions[id]
	if !found {
		return false
	}
	q.unlink(at)
	delete(q.positions, id)
	return true
}

// unlink removes the request at a position from its customer's queue, and removes
// that queue if it is then empty.
func (q *Queue) unlink(at position) {
	ranked := &at.service.ranks[at.rank]
	waiting := ranked.customers[at.customer]
	waiting.items.Remove(at.element)
	at.service.length--
	if waiting.items.Len() > 0 {
		return
	}
	delete(ranked.customers, at.customer)
	for i, name := range ranked.order {
		if name == at.customer {
			ranked.order = append(ranked.order[:i], ranked.order[i+1:]...)
			return
		}
	}
}

// Last returns the request of a service that would be served last: the newest one
// of the customer with the most requests in the lowest rank. It never returns an
// urgent request.
func (q *Queue) Last(service string) (Item, bool) {
	queued := q.services[service]
	if queued == nil {
		return Item{}, false
	}
	for rank := rankCount - 1; rank > rankUrgent; rank-- {
		var longest *customerQueue
		for _, name := range queued.ranks[rank].order {
			if waiting := queued.ranks[rank].customers[name]; longest == nil || waiting.items.Len() > longest.items.Len() {
				longest = waiting
			}
		}
		if longest != nil {
			return longest.items.Back().Value.(Item), true
		}
	}
	return Item{}, false
}

// Pop removes and returns the next request that may start. It returns false if
// there is none.
func (q *Queue) Pop(canStart CanStart) (Item, bool) {
	for rank := range rankCount {
		if item, found := q.popRank(rank, canStart); found {
			return item, true
		}
	}
	return Item{}, false
}

// popRank removes and returns the next request of a rank that may start. It tries
// the services in order of their virtual time.
func (q *Queue) popRank(rank int, canStart CanStart) (Item, bool) {
	tried := map[string]bool{}
	for {
		service := q.leastServed(rank, tried)
		if service == nil {
			return Item{}, false
		}
		tried[service.name] = true
		item, at, found := q.first(service, rank, canStart)
		if !found {
			continue
		}
		q.unlink(at)
		delete(q.positions, item.ID)
		q.charge(service, item)
		return item, true
	}
}

// leastServed returns the service with the smallest virtual time that has waiting
// requests of a rank and hasn't been tried, or nil if there is none.
func (q *Queue) leastServed(rank int, tried map[string]bool) *serviceQueue {
	var least *serviceQueue
	for _, service := range q.services {
		if tried[service.name] || len(service.ranks[rank].order) == 0 {
			continue
		}
		if least == nil || service.virtualTime < least.virtualTime || (service.virtualTime == least.virtualTime && service.name < least.name) {
			least = service
		}
	}
	return least
}

// first returns the oldest request of the customer with the smallest virtual time,
// among the customers whose oldest request may start.
func (q *Queue) first(service *serviceQueue, rank int, canStart CanStart) (Item, position, bool) {
	ranked := &service.ranks[rank]
	best, found := "", false
	for _, name := range ranked.order {
		oldest := ranked.customers[name].items.Front().Value.(Item)
		if !canStart(oldest) {
			continue
		}
		if !found || ranked.customers[name].virtualTime < ranked.customers[best].virtualTime {
			best, found = name, true
		}
	}
	if !found {
		return Item{}, position{}, false
	}
	element := ranked.customers[best].items.Front()
	return element.Value.(Item), position{service: service, rank: rank, customer: best, element: element}, true
}

// charge advances the virtual times of a started request's service and customer,
// by the request's size divided by their weights.
func (q *Queue) charge(service *serviceQueue, item Item) {
	size := float64(max(item.Size, 1))
	q.virtualClock = max(q.virtualClock, service.virtualTime)
	service.virtualTime += size / float64(max(q.weights.Service(item.Service), 1))
	for rank := range service.ranks {
		if waiting := service.ranks[rank].customers[item.Customer]; waiting != nil {
			service.virtualClock = max(service.virtualClock, waiting.virtualTime)
			waiting.virtualTime += size / float64(max(q.weights.Customer(item.Service, item.Customer), 1))
		}
	}
}

// PopExpired removes and returns the requests whose deadline has passed.
func (q *Queue) PopExpired(now time.Time) []Item {
	var expired []Item
	q.each(func(item Item, _ position) {
		if !now.Before(item.Deadline) {
			expired = append(expired, item)
		}
	})
	for _, item := range expired {
		q.Remove(item.ID)
	}
	return expired
}

// Age raises the rank of requests that have waited for a long time, so that a
// stream of requests of higher ranks can't starve them. It returns how many it
// raised. A same-day request becomes normal when half of the time to its deadline
// has passed. Any request becomes urgent when the time left is at most lead, the
// time that its service usually takes for a request, plus a margin.
func (q *Queue) Age(now time.Time, lead func(service string) time.Duration) int {
	var raised []Item
	var ranks []int
	q.each(func(item Item, at position) {
		if rank := agedRank(item, now, lead(item.Service)); rank < at.rank {
			raised = append(raised, item)
			ranks = append(ranks, rank)
		}
	})
	for i, item := range raised {
		service := q.positions[item.ID].service
		q.Remove(item.ID)
		q.insert(service, ranks[i], item)
	}
	return len(raised)
}

// agedRank returns the rank that a request has at the time now by the rules of Age.
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

// each calls visit for every waiting request, in no particular order.
func (q *Queue) each(visit func(Item, position)) {
	for _, at := range q.positions {
		visit(at.element.Value.(Item), at)
	}
}
