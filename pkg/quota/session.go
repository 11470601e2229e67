package quota

import (
	"maps"
	"slices"

	"damsonwinch/pkg/wire"
)

// session holds what the allocator has sent to one owner of a cell, and what the owner has
// confirmed.
type session struct {
	ownerToken int // The fencing token by which the owner holds the cell.
	// lastNumber is the number of the newest update. unconfirmed holds the allowances of each
	// customer that were sent and aren't confirmed yet, in order of their numbers.
	lastNumber  int
	unconfirmed map[string][]sentAllowance
	// confirmedNumber is the highest update number that the owner has confirmed.
	confirmedNumber int
	// configVersion is the version of the configuration by which all allowances that were sent to
	// the owner were allocated. It stays behind while allowances of some customers are held back
	// until their limits are recorded.
	configVersion int
	// confirmed holds the allowance of each customer that the owner has confirmed last, unsent the
	// customers for which there may be something new to send, and reported the customers in the
	// owner's newest reply.
	confirmed map[string]sentAllowance
	unsent    map[string]bool
	reported  map[string]bool
}

// sentAllowance is the allowance of a customer as it was sent to an owner, with the cap that it is
// part of.
type sentAllowance struct {
	number int // The number of the first update that held it.
	amount amounts
	cap    amounts
}

// equals reports whether two allowances are the same, whatever updates they were sent in.
func (a sentAllowance) equals(other sentAllowance) bool {
	return a.amount == other.amount && a.cap == other.cap
}

// sessionOf returns the session with the newest known owner of a cell. If the token is higher than
// that owner's, it starts a new session, since a new owner has received nothing.
func (a *Allocator) sessionOf(cell string, token int) *session {
	s := a.sessions[cell]
	if s != nil && token <= s.ownerToken {
		return s
	}
	s = &session{ownerToken: token, unconfirmed: map[string][]sentAllowance{}, confirmed: map[string]sentAllowance{}, unsent: map[string]bool{}, reported: map[string]bool{}}
	for customer := range a.customers {
		s.unsent[customer] = true
	}
	a.sessions[cell] = s
	return s
}

// affectedCustomers returns the customers for which a reply with the given rows may bring news: those
// in the rows, those that were in the last reply, and those with unconfirmed allowances.
func (s *session) affectedCustomers(rows map[string]report) map[string]bool {
	affected := make(map[string]bool, len(rows)+len(s.unconfirmed))
	for customer := range rows {
		affected[customer] = true
	}
	for customer := range s.reported {
		affected[customer] = true
	}
	for customer := range s.unconfirmed {
		affected[customer] = true
	}
	return affected
}

// HasUpdate reports whether there may be something new to send to the owner of a cell, apart from
// what is held back until limits are recorded.
func (a *Allocator) HasUpdate(cell string) bool {
	s := a.sessions[cell]
	if s == nil {
		return false
	}
	for customer := range s.unsent {
		if state := a.customers[customer]; state.configured && !state.recordPending && !state.mustRecordUnknown {
			return true
		}
	}
	return false
}

// confirm notes that the owner has confirmed the updates up to the given number: it updates the
// confirmed and unconfirmed allowances of a customer.
func (s *session) confirm(customer string, number int) {
	unconfirmed := s.unconfirmed[customer]
	for len(unconfirmed) > 0 && unconfirmed[0].number <= number {
		s.confirmed[customer] = unconfirmed[0]
		unconfirmed = unconfirmed[1:]
	}
	if len(unconfirmed) == 0 {
		delete(s.unconfirmed, customer)
	} else {
		s.unconfirmed[customer] = unconfirmed
	}
}

// Update is an allowance update for the owner of a cell.
type Update struct {
	// OwnerToken is the fencing token by which the owner holds the cell, and Number the number of
	// this update among those to this owner. ConfigVersion is the version of the configuration by
	// which all allowances that were sent to the owner were allocated. Allowances are those that the
	// owner hasn't confirmed, one per customer.
	OwnerToken    int
	Number        int
	ConfigVersion int
	Allowances    []wire.AllowanceRow
}

// NextUpdate returns the next update for the owner of a cell. It repeats the allowances that the
// owner hasn't confirmed. The update is empty until an owner of the cell has replied.
func (a *Allocator) NextUpdate(cell string) Update {
	s := a.sessions[cell]
	if s == nil {
		return Update{}
	}
	s.lastNumber++
	heldBack := false
	for _, customer := range slices.Sorted(maps.Keys(s.unsent)) {
		state := a.customers[customer]
		if state.recordPending || state.mustRecordUnknown {
			heldBack = true
			continue
		}
		delete(s.unsent, customer)
		if !state.configured {
			continue
		}
		s.addAllowance(customer, sentAllowance{number: s.lastNumber, amount: state.targets[cell], cap: state.cap})
	}
	if !heldBack {
		s.configVersion = a.configVersion
	}
	update := Update{OwnerToken: s.ownerToken, Number: s.lastNumber, ConfigVersion: s.configVersion}
	for _, customer := range slices.Sorted(maps.Keys(s.unconfirmed)) {
		sent := s.unconfirmed[customer][len(s.unconfirmed[customer])-1]
		update.Allowances = append(update.Allowances, wire.AllowanceRow{Customer: customer, Amount: sent.amount.wire(), Cap: sent.cap.wire()})
	}
	return update
}

// addAllowance adds an allowance of a customer to those that are sent until they are confirmed. It
// does nothing if the last one sent was the same, or none was sent and the customer has no cap.
func (s *session) addAllowance(customer string, next sentAllowance) {
	last, sent := s.confirmed[customer]
	if unconfirmed := s.unconfirmed[customer]; len(unconfirmed) > 0 {
		last, sent = unconfirmed[len(unconfirmed)-1], true
	}
	if sent && last.equals(next) || !sent && next.cap.isUnlimited() {
		return
	}
	s.unconfirmed[customer] = append(s.unconfirmed[customer], next)
}
