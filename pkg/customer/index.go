// Package customer identifies customers by the keys that their calls carry. It does no I/O.
package customer

import (
	"fmt"

	"damsonwinch"
)

// Index finds the customers of one configuration by key digest and by name. It is immutable.
type Index struct {
	byKey  map[damsonwinch.KeyDigest]string
	byName map[string]damsonwinch.Customer
}

// noCustomer marks a key that more than one customer has.
const noCustomer = ""

// New returns the index of customers, and a message for each customer or key that the index leaves
// out. A key that two customers have identifies neither of them.
func New(customers []damsonwinch.Customer) (*Index, []string) {
	x := &Index{byKey: map[damsonwinch.KeyDigest]string{}, byName: make(map[string]damsonwinch.Customer, len(customers))}
	var problems []string
	for _, c := range customers {
		if _, duplicate := x.byName[c.Name]; duplicate || c.Name == noCustomer {
			problems = append(problems, fmt.Sprintf("customer %q is listed twice, or has no name: only the first one is in force", c.Name))
			continue
		}
		x.byName[c.Name] = c
		for _, key := range c.Keys {
			other, taken := x.byKey[key]
			if taken && other != c.Name {
				problems = append(problems, fmt.Sprintf("customer %s has a key that another one has as well: it is neither's", c.Name))
				x.byKey[key] = noCustomer
				continue
			}
			x.byKey[key] = c.Name
		}
	}
	return x, problems
}

// NameByKey returns the name of the customer that has the key, and whether the key is in force. The
// name is empty if it isn't.
func (x *Index) NameByKey(key damsonwinch.KeyDigest) (name string, inForce bool) {
	name = x.byKey[key]
	return name, name != noCustomer
}

// ByName returns the customer of the given name, and whether there is one in force.
func (x *Index) ByName(name string) (damsonwinch.Customer, bool) {
	c, known := x.byName[name]
	return c, known
}

// Len returns the number of customers in force.
func (x *Index) Len() int {
	return len(x.byName)
}
