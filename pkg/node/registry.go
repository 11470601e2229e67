package node

import (
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// registry is the endpoints that the platform lists.
type registry struct {
	decode func(damsonwinch.Record) (damsonwinch.Endpoint, error)
	// endpoints holds those that may be used, by their IDs.
	endpoints map[string]damsonwinch.Endpoint
	// invalid holds the IDs of entries that name no endpoint to use.
	invalid map[string]bool
	// lifeShards holds to which shard each life that has been listed belongs.
	lifeShards map[damsonwinch.Life]lifeShard
	// complete says that all that are listed have been read.
	complete bool
	// firstReadAt is when the first reading had come, zero before.
	firstReadAt time.Time
}

// lifeShard is a lifeShard of an endpoint's, which belongs to one shard to its end.
type lifeShard struct {
	// known says that its shard is known.
	known bool
	shard int
	// firstSeenAt is when it was first seen: orders that led to it are in the planner's stream
	// since before.
	firstSeenAt time.Time
}

func newRegistry(decode func(damsonwinch.Record) (damsonwinch.Endpoint, error)) registry {
	return registry{decode: decode, endpoints: map[string]damsonwinch.Endpoint{}, invalid: map[string]bool{}, lifeShards: map[damsonwinch.Life]lifeShard{}}
}

// reset drops all that is known.
func (r *registry) reset() {
	clear(r.endpoints)
	clear(r.invalid)
	clear(r.lifeShards)
	r.complete, r.firstReadAt = false, time.Time{}
}

// apply takes records of entries. It says whether owners have something new to learn of the
// endpoints, and returns why entries were refused that were not before: an endpoint writes
// one each second or two.
func (r *registry) apply(m endpointRecords) (changed bool, refused []error) {
	if r.firstReadAt.IsZero() {
		r.firstReadAt = m.receivedAt
	}
	if m.snapshot {
		clear(r.endpoints)
		clear(r.invalid)
		r.complete, changed = true, true
		defer r.dropUnlistedLives()
	}
	for _, record := range m.records {
		before, known := r.endpoints[record.Key]
		after, err := r.decode(record)
		if err != nil || after.Pool == "" {
			delete(r.endpoints, record.Key)
			changed = changed || known
		}
		switch {
		case err != nil:
			if !r.invalid[record.Key] {
				refused = append(refused, err)
			}
			r.invalid[record.Key] = true
			continue
		case after.Pool != "":
			after.SeenAt = m.requestedAt
			r.endpoints[record.Key] = after
			if _, seen := r.lifeShards[after.Life]; !seen {
				r.lifeShards[after.Life] = lifeShard{firstSeenAt: m.receivedAt}
			}
			changed = changed || !known || differs(before, after)
		}
		delete(r.invalid, record.Key)
	}
	return changed, refused
}

// differs says whether an entry tells owners something new.
func differs(before, after damsonwinch.Endpoint) bool {
	return before.Life != after.Life || before.Draining != after.Draining || before.Address != after.Address || before.Pool != after.Pool || before.Zone != after.Zone ||
		before.Box != after.Box || before.Capacity != after.Capacity || !slices.Equal(before.Labels, after.Labels)
}

// dropUnlistedLives forgets the lives that aren't listed any more.
func (r *registry) dropUnlistedLives() {
	for named := range r.lifeShards {
		if r.endpoints[named.ID].Life != named && !r.invalid[named.ID] {
			delete(r.lifeShards, named)
		}
	}
}

// assignShards sorts the lives in some pools by their shards, those for which the placements read are
// new enough. It says whether any were, and whether others wait for newer placements.
func (r *registry) assignShards(layout shard.Layout, pools map[string]bool, placed *placements) (sorted, waiting bool) {
	if !layout.Sharded() {
		return false, false
	}
	for named, l := range r.lifeShards {
		endpoint := r.endpoints[named.ID]
		switch {
		case l.known || endpoint.Life != named || !pools[endpoint.Pool]:
		case placed.upToDateAt.Before(l.firstSeenAt):
			waiting = true
		default:
			l.known, l.shard = true, layout.LifeShard(endpoint.Box, endpoint.Pool, named, placed.find(endpoint.Box))
			r.lifeShards[named] = l
			sorted = true
		}
	}
	return sorted, waiting
}

// readyForOwners says whether owners can be readyForOwners of the endpoints: those that were listed at first have
// been sorted, so that no owner takes the others for all there are.
func (r *registry) readyForOwners(layout shard.Layout, placed *placements) bool {
	return !layout.Sharded() || !r.firstReadAt.IsZero() && !placed.upToDateAt.Before(r.firstReadAt)
}

// cellEndpoints returns the endpoints cellEndpoints a cell.
func (r *registry) cellEndpoints(cell string, layout shard.Layout) []damsonwinch.Endpoint {
	var found []damsonwinch.Endpoint
	pool, number := shard.ParseCellName(cell)
	for _, endpoint := range r.endpoints {
		if endpoint.Pool == pool && r.belongsTo(endpoint.Life, number, layout) {
			found = append(found, endpoint)
		}
	}
	slices.SortFunc(found, func(a, b damsonwinch.Endpoint) int { return a.Life.Compare(b.Life) })
	return found
}

// belongsTo says whether a life belongs to a shard.
func (r *registry) belongsTo(named damsonwinch.Life, number int, layout shard.Layout) bool {
	if !layout.Sharded() {
		return number == 0
	}
	found := r.lifeShards[named]
	return found.known && found.shard == number
}
