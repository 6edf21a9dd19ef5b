// Package fleet holds the keys that all processes of one deployment share.
//
// Keys that protect packets are numbered and rotate; a Ring is an immutable set of them.
// Keys that identify processes to each other are derived from the secret in the settings.
package fleet

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"sync/atomic"

	"github.com/pkg/errors"
)

// KeySize is the size of a key or of the deployment's secret, in bytes.
const KeySize = 32

// Key is one numbered packet key.
type Key struct {
	Number uint8
	Secret [KeySize]byte
}

// derived holds what is computed once from a Key.
type derived struct {
	block cipher.Block
	mac   [KeySize]byte
}

// Keyring is an immutable set of packet keys. New flows use the current one; all of them are valid.
type Keyring struct {
	keys    [256]*derived
	current uint8
	size    int
}

// NewKeyring returns a ring of keys; current is the number of the key for new flows.
// It returns an error when that key is not among them.
func NewKeyring(current uint8, keys ...Key) (*Keyring, error) {
	r := &Keyring{current: current}
	for _, k := range keys {
		d, err := derive(k)
		if err != nil {
			return nil, err
		}
		if r.keys[k.Number] == nil {
			r.size++
		}
		r.keys[k.Number] = d
	}
	if r.keys[current] == nil {
		return nil, errors.Errorf("fleet: the current key %d is not in the ring", current)
	}
	return r, nil
}

func derive(k Key) (*derived, error) {
	cidKey, err := hkdf.Key(sha256.New, k.Secret[:], nil, "bergamotrun connection id", aes.BlockSize)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: derive connection ID key")
	}
	macKey, err := hkdf.Key(sha256.New, k.Secret[:], nil, "bergamotrun envelope", KeySize)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: derive envelope key")
	}
	block, err := aes.NewCipher(cidKey)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: create block cipher")
	}
	return &derived{block: block, mac: [KeySize]byte(macKey)}, nil
}

// Current returns the number of the key for new flows.
func (r *Keyring) Current() uint8 { return r.current }

// Len returns the number of keys in the ring.
func (r *Keyring) Len() int { return r.size }

// ConnIDCipher returns the cipher for connection IDs under key number n, or nil when the ring lacks it.
func (r *Keyring) ConnIDCipher(n uint8) cipher.Block {
	if k := r.keys[n]; k != nil {
		return k.block
	}
	return nil
}

// EnvelopeKey returns the envelope key under key number n, or nil when the ring lacks it.
func (r *Keyring) EnvelopeKey(n uint8) []byte {
	if k := r.keys[n]; k != nil {
		return k.mac[:]
	}
	return nil
}

// AtomicKeyring publishes the ring in force to the packet path. It is safe for concurrent use.
type AtomicKeyring struct{ ring atomic.Pointer[Keyring] }

// Load returns the ring in force, or nil before the first Set.
func (h *AtomicKeyring) Load() *Keyring { return h.ring.Load() }

// Store puts r in force.
func (h *AtomicKeyring) Store(r *Keyring) { h.ring.Store(r) }

// Secret is the secret of a deployment. Its text form never shows it.
type Secret [KeySize]byte

// String returns a placeholder, so that a log can't show the secret.
func (Secret) String() string { return "[secret]" }

// GoString returns a placeholder, so that a log can't show the secret.
func (Secret) GoString() string { return "[secret]" }

// SecretFromText derives the deployment's secret from the text in the settings.
// It returns an error when text is shorter than 16 characters.
func SecretFromText(text string) (Secret, error) {
	const minLength = 16
	if len(text) < minLength {
		return Secret{}, errors.Errorf("fleet: secret has %d characters, needs at least %d", len(text), minLength)
	}
	return Secret(sha256.Sum256([]byte(text))), nil
}

// Derive returns a key for one purpose.
func (s Secret) Derive(purpose string) [KeySize]byte {
	k, err := hkdf.Key(sha256.New, s[:], nil, "bergamotrun "+purpose, KeySize)
	if err != nil {
		panic(err) // HKDF fails only for a length over 255 hashes.
	}
	return [KeySize]byte(k)
}

// ResetKey returns the key of the stateless reset tokens, which all agents share.
func (s Secret) ResetKey() [KeySize]byte { return s.Derive("stateless reset") }

// NewKey returns a random packet key with number n.
func NewKey(n uint8) Key {
	k := Key{Number: n}
	_, _ = rand.Read(k.Secret[:]) // crypto/rand.Read never fails.
	return k
}

// SealedKey is a packet key encrypted under the deployment's secret, as it is stored.
type SealedKey struct {
	Number uint8  `json:"number" cbor:"1,keyasint"`
	Box    []byte `json:"box" cbor:"2,keyasint"`
}

// Seal encrypts k for storage.
func (s Secret) Seal(k Key) (SealedKey, error) {
	aead, err := s.aead()
	if err != nil {
		return SealedKey{}, err
	}
	nonce := make([]byte, aead.NonceSize())
	_, _ = rand.Read(nonce) // crypto/rand.Read never fails.
	return SealedKey{Number: k.Number, Box: aead.Seal(nonce, nonce, k.Secret[:], []byte{k.Number})}, nil
}

// Open decrypts a stored key. It returns an error when the secret is not the one it was sealed under.
func (s Secret) Open(sealed SealedKey) (Key, error) {
	aead, err := s.aead()
	if err != nil {
		return Key{}, err
	}
	n := aead.NonceSize()
	if len(sealed.Box) < n {
		return Key{}, errors.Errorf("fleet: stored key %d is truncated", sealed.Number)
	}
	plain, err := aead.Open(nil, sealed.Box[:n], sealed.Box[n:], []byte{sealed.Number})
	if err != nil {
		return Key{}, errors.Wrapf(err, "fleet: stored key %d doesn't open with this secret", sealed.Number)
	}
	return Key{Number: sealed.Number, Secret: [KeySize]byte(plain)}, nil
}

func (s Secret) aead() (cipher.AEAD, error) {
	k := s.Derive("stored keys")
	block, err := aes.NewCipher(k[:])
	if err != nil {
		return nil, errors.Wrap(err, "fleet: create cipher for stored keys")
	}
	aead, err := cipher.NewGCM(block)
	return aead, errors.Wrap(err, "fleet: create AEAD for stored keys")
}
