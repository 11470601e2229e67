// Package customer finds customers by the keys that their calls bring. It is pure.
package customer

import (
	"fmt"

	"damsonwinch"
)

// Index holds the customers of one configuration by the digests of their keys. It never changes.
type Index struct {
	byKey  map[damsonwinch.KeyDigest]string
	byName map[string]damsonwinch.Customer
}

// nobody marks a key that stands with more than one customer.
const nobody = ""

// New returns the book of some customers, and what of them isn't in force: a key that two of
// them have says of neither that it calls.
func New(customers []damsonwinch.Customer) (*Index, []string) {
	b := &Index{byKey: map[damsonwinch.KeyDigest]string{}, byName: make(map[string]damsonwinch.Customer, len(customers))}
	var flaws []string
	for _, c := range customers {
		if _, twice := b.byName[c.Name]; twice || c.Name == nobody {
			flaws = append(flaws, fmt.Sprintf("customer %q stands there twice, or has no name: the first one counts", c.Name))
			continue
		}
		b.byName[c.Name] = c
		for _, key := range c.Keys {
			other, taken := b.byKey[key]
			if taken && other != c.Name {
				flaws = append(flaws, fmt.Sprintf("customer %s has a key that another one has as well: it is neither's", c.Name))
				b.byKey[key] = nobody
				continue
			}
			b.byKey[key] = c.Name
		}
	}
	return b, flaws
}

// NameByKey returns the customer of a key, and whether the key is in force.
func (b *Index) NameByKey(key damsonwinch.KeyDigest) (name string, inForce bool) {
	name = b.byKey[key]
	return name, name != nobody
}

// ByName returns a customer by its name.
func (b *Index) ByName(name string) (damsonwinch.Customer, bool) {
	c, known := b.byName[name]
	return c, known
}

// Len returns the number of customers.
func (b *Index) Len() int {
	return len(b.byName)
}
