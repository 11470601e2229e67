package quota

import (
	"maps"
	"slices"

	"damsonwinch/pkg/wire"
)

// contact is how far an owner of a cell has been told.
type contact struct {
	token int
	// number is that of the newest word, and told the words on each customer that aren't confirmed
	// yet, in order, each with the number of the first that held it.
	number int
	told   map[string][]word
	// confirmed is the highest number that the owner has confirmed.
	confirmed int
	// version is that of the configuration by which all was dealt that it has been told: while a
	// record is awaited, some customers' words are held back.
	version int
	// heard holds what the owner has confirmed, by customer, unsaid the customers of whom there may
	// be something new to tell, and pressed those of whom it has reported.
	heard   map[string]word
	unsaid  map[string]bool
	pressed map[string]bool
}

// word is what a cell is told of one customer.
type word struct {
	number int
	amount amounts
	cap    amounts
}

// same says whether two words say the same.
func (w word) same(other word) bool {
	return w.amount == other.amount && w.cap == other.cap
}

// contactOf returns the contact with the owner of a cell; a new owner has heard nothing.
func (a *Allocator) contactOf(cell string, token int) *contact {
	c := a.contacts[cell]
	if c != nil && token <= c.token {
		return c
	}
	c = &contact{token: token, told: map[string][]word{}, heard: map[string]word{}, unsaid: map[string]bool{}, pressed: map[string]bool{}}
	for customer := range a.customers {
		c.unsaid[customer] = true
	}
	a.contacts[cell] = c
	return c
}

// concerned returns the customers of whom a reply says something new: by its rows, by their
// absence, or by what it confirms.
func (c *contact) concerned(rows map[string]report) map[string]bool {
	found := make(map[string]bool, len(rows)+len(c.told))
	for customer := range rows {
		found[customer] = true
	}
	for customer := range c.pressed {
		found[customer] = true
	}
	for customer := range c.told {
		found[customer] = true
	}
	return found
}

// HasUpdate says whether the owner of a cell is to be told something that needn't wait.
func (a *Allocator) HasUpdate(cell string) bool {
	c := a.contacts[cell]
	if c == nil {
		return false
	}
	for customer := range c.unsaid {
		if known := a.customers[customer]; known.known && !known.recording && !known.uncounted {
			return true
		}
	}
	return false
}

// confirm takes note that an owner has taken all words up to a number.
func (c *contact) confirm(customer string, number int) {
	told := c.told[customer]
	for len(told) > 0 && told[0].number <= number {
		c.heard[customer] = told[0]
		told = told[1:]
	}
	if len(told) == 0 {
		delete(c.told, customer)
	} else {
		c.told[customer] = told
	}
}

// Update is what is said to the owner of a cell.
type Update struct {
	// OwnerToken is the token by which it owns the cell, Number that of this word among those to it, and
	// Version that of the configuration by which all that it has been told was dealt.
	OwnerToken    int
	Number        int
	ConfigVersion int
	Allowances    []wire.AllowanceRow
}

// NextUpdate returns what is to be said to the owner of a cell next; nothing to one that hasn't been
// heard of. All that it hasn't confirmed is said again.
func (a *Allocator) NextUpdate(cell string) Update {
	c := a.contacts[cell]
	if c == nil {
		return Update{}
	}
	c.number++
	heldBack := false
	for _, customer := range slices.Sorted(maps.Keys(c.unsaid)) {
		known := a.customers[customer]
		if known.recording || known.uncounted {
			heldBack = true
			continue
		}
		delete(c.unsaid, customer)
		if !known.known {
			continue
		}
		c.tell(customer, word{number: c.number, amount: known.targets[cell], cap: known.cap})
	}
	if !heldBack {
		c.version = a.version
	}
	words := Update{OwnerToken: c.token, Number: c.number, ConfigVersion: c.version}
	for _, customer := range slices.Sorted(maps.Keys(c.told)) {
		said := c.told[customer][len(c.told[customer])-1]
		words.Allowances = append(words.Allowances, wire.AllowanceRow{Customer: customer, Amount: said.amount.wire(), Cap: said.cap.wire()})
	}
	return words
}

// tell adds a word on a customer unless it is the last one, or there is nothing to say.
func (c *contact) tell(customer string, next word) {
	last, said := c.heard[customer]
	if told := c.told[customer]; len(told) > 0 {
		last, said = told[len(told)-1], true
	}
	if said && last.same(next) || !said && next.cap.unlimited() {
		return
	}
	c.told[customer] = append(c.told[customer], next)
}
