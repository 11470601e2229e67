package customer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
)

func customerOf(name string, keys ...string) damsonwinch.Customer {
	c := damsonwinch.Customer{Name: name}
	for _, key := range keys {
		c.Keys = append(c.Keys, damsonwinch.DigestKey(key))
	}
	return c
}

// TestAKeyLeadsToItsCustomer, and one that stands with two customers to neither.
func TestAKeyLeadsToItsCustomer(t *testing.T) {
	book, flaws := New([]damsonwinch.Customer{
		customerOf("bakery", "b1", "b2", "b2"), customerOf("mill", "m1", "shared"), customerOf("farm", "shared", "f1"), customerOf("bakery", "b9"), customerOf("", "n"),
	})
	for key, want := range map[string]string{"b1": "bakery", "b2": "bakery", "m1": "mill", "f1": "farm", "shared": "", "b9": "", "n": "", "none": "", "": ""} {
		name, inForce := book.NameByKey(damsonwinch.DigestKey(key))
		assert.Equal(t, name, want, key)
		assert.Equal(t, inForce, want != "", key)
	}
	assert.Equal(t, len(flaws), 3, "%q", flaws)
	assert.Equal(t, book.Len(), 3)
	_, known := book.ByName("farm")
	assert.Assert(t, known)
}

// TestADigestComesThroughTheWire, and nothing else is taken for one.
func TestADigestComesThroughTheWire(t *testing.T) {
	digest := damsonwinch.DigestKey("key")
	assert.Equal(t, damsonwinch.ParseKeyDigest(digest.Text()), digest)
	for _, text := range []string{"", "x", digest.Text() + "x", "!!!!!!!!!!!!!!!!!!!!!!"} {
		assert.Equal(t, damsonwinch.ParseKeyDigest(text), damsonwinch.KeyDigest{}, text)
	}
}

// twoYears returns 200 customers with ten keys each.
func twoYears() []damsonwinch.Customer {
	var customers []damsonwinch.Customer
	for number := range 200 {
		var keys []string
		for key := range 10 {
			keys = append(keys, fmt.Sprintf("key-%08d-%04d", number, key))
		}
		customers = append(customers, customerOf(fmt.Sprintf("customer-%d", number), keys...))
	}
	return customers
}

// BenchmarkOf finds the customer of a call's key among 2,000.
func BenchmarkOf(b *testing.B) {
	book, _ := New(twoYears())
	key := "key-00000123-0007"
	b.ReportAllocs()
	for b.Loop() {
		if _, inForce := book.NameByKey(damsonwinch.DigestKey(key)); !inForce {
			b.Fatal("not found")
		}
	}
}

// BenchmarkNew puts a version with 2,000 keys in force.
func BenchmarkNew(b *testing.B) {
	customers := twoYears()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = New(customers)
	}
}
