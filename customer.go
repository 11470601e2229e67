package damsonwinch

import (
	"crypto/sha256"
	"encoding/base64"
)

// keyDigestBytes is the length of what is kept of a key: two keys of a fleet's don't meet in it,
// and none can be found from it.
const keyDigestBytes = 16

// KeyDigest is what is kept of a customer's key. It tells the key apart from others and doesn't
// lead back to it.
type KeyDigest [keyDigestBytes]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:keyDigestBytes])
}

// Text returns the digest in a form for the wire.
func (d KeyDigest) Text() string {
	return base64.RawURLEncoding.EncodeToString(d[:])
}

// ParseKeyDigest reads what Text returns; anything else is the digest of no key.
func ParseKeyDigest(text string) KeyDigest {
	var digest KeyDigest
	if base64.RawURLEncoding.DecodedLen(len(text)) != keyDigestBytes {
		return KeyDigest{}
	}
	if _, err := base64.RawURLEncoding.Decode(digest[:], []byte(text)); err != nil {
		return KeyDigest{}
	}
	return digest
}

// Customer is one whose jobs the fleet runs.
type Customer struct {
	Name string
	// Keys are the digests of the keys by which its calls are known.
	Keys []KeyDigest
	// Weight is its share while the fleet is full, in jobs a second.
	Weight int
	// Cap is what it may have running on all endpoints together; what is 0 has no limit.
	Cap Resources
}
