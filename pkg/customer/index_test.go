package customer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
)

// newCustomer returns a customer with the digests of the given keys.
func newCustomer(name string, keys ...string) damsonwinch.Customer {
	c := damsonwinch.Customer{Name: name}
	for _, key := range keys {
		c.Keys = append(c.Keys, damsonwinch.DigestKey(key))
	}
	return c
}

// TestKeyIdentifiesItsCustomer also checks that a key of two customers identifies neither of them, and
// that a customer without a name, or with a name that came before, is not in force.
func TestKeyIdentifiesItsCustomer(t *testing.T) {
	index, problems := New([]damsonwinch.Customer{
		newCustomer("bakery", "b1", "b2", "b2"), newCustomer("mill", "m1", "shared"), newCustomer("farm", "shared", "f1"), newCustomer("bakery", "b9"), newCustomer("", "n"),
	})
	for key, want := range map[string]string{"b1": "bakery", "b2": "bakery", "m1": "mill", "f1": "farm", "shared": "", "b9": "", "n": "", "none": "", "": ""} {
		name, inForce := index.NameByKey(damsonwinch.DigestKey(key))
		assert.Equal(t, name, want, key)
		assert.Equal(t, inForce, want != "", key)
	}
	assert.Equal(t, len(problems), 3, "%q", problems)
	assert.Equal(t, index.Len(), 3)
	_, known := index.ByName("farm")
	assert.Assert(t, known)
}

// TestParseKeyDigestInvertsText also checks that any other text yields the digest of no key.
func TestParseKeyDigestInvertsText(t *testing.T) {
	digest := damsonwinch.DigestKey("key")
	assert.Equal(t, damsonwinch.ParseKeyDigest(digest.Text()), digest)
	for _, text := range []string{"", "x", digest.Text() + "x", "!!!!!!!!!!!!!!!!!!!!!!"} {
		assert.Equal(t, damsonwinch.ParseKeyDigest(text), damsonwinch.KeyDigest{}, text)
	}
}

// manyCustomers returns 200 customers with ten keys each.
func manyCustomers() []damsonwinch.Customer {
	var customers []damsonwinch.Customer
	for number := range 200 {
		var keys []string
		for key := range 10 {
			keys = append(keys, fmt.Sprintf("key-%08d-%04d", number, key))
		}
		customers = append(customers, newCustomer(fmt.Sprintf("customer-%d", number), keys...))
	}
	return customers
}

// BenchmarkNameByKey finds the customer of a call's key among 2,000 keys.
func BenchmarkNameByKey(b *testing.B) {
	index, _ := New(manyCustomers())
	key := "key-00000123-0007"
	b.ReportAllocs()
	for b.Loop() {
		if _, inForce := index.NameByKey(damsonwinch.DigestKey(key)); !inForce {
			b.Fatal("not found")
		}
	}
}

// BenchmarkNew builds the index of a configuration with 2,000 keys.
func BenchmarkNew(b *testing.B) {
	customers := manyCustomers()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = New(customers)
	}
}
