package damsonwinch

import (
	"crypto/sha256"
	"encoding/base64"
)

// keyDigestBytes is the length of a truncated key hash: two keys of one fleet do not collide in it,
// and no key can be recovered from it.
const keyDigestBytes = 16

// KeyDigest is the truncated SHA-256 of a customer's key, which is kept in place of the key. It
// identifies the key without revealing it.
type KeyDigest [keyDigestBytes]byte

// DigestKey returns the digest of the key that a customer sends.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:keyDigestBytes])
}

// Text returns the digest as unpadded URL-safe base64, as it is sent between nodes.
func (d KeyDigest) Text() string {
	return base64.RawURLEncoding.EncodeToString(d[:])
}

// ParseKeyDigest parses the result of Text. For any other text it returns the zero KeyDigest,
// which belongs to no key.
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

// Customer owns jobs that the fleet runs, and has a share and a limit of its capacity.
type Customer struct {
	Name string
	// Keys holds the digests of the keys that identify the customer's calls.
	Keys []KeyDigest
	// Weight is the customer's share while the fleet is full, in jobs per second.
	Weight int
	// Cap is the most that the customer's tasks may use on all endpoints together. A resource
	// whose cap is 0 has no limit.
	Cap Resources
}
