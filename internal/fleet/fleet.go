// Package fleet implements the keys that all processes of a deployment share.
//
// Packet keys are numbered and rotated; a Keyring is an immutable set of them. The keys with which processes authenticate
// to each other are derived from the secret in the settings.
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

// KeySize is the size of a key and of the deployment's secret in bytes.
const KeySize = 32

// Key is a numbered packet key.
type Key struct {
	Number uint8
	Secret [KeySize]byte
}

// derivedKeys holds the cipher and the key that are derived from a Key. They are derived once per keyring, as the packet
// path uses them for each packet.
type derivedKeys struct {
	connIDCipher cipher.Block
	envelopeKey  [KeySize]byte
}

// Keyring is an immutable set of packet keys. All keys are valid; the current key is used for new flows.
type Keyring struct {
	keys    [256]*derivedKeys
	current uint8
	size    int
}

// NewKeyring returns a keyring of keys; current is the number of the key for new flows.
// It returns an error if that key is not among keys.
func NewKeyring(current uint8, keys ...Key) (*Keyring, error) {
	r := &Keyring{current: current}
	for _, k := range keys {
		derived, err := deriveKeys(k)
		if err != nil {
			return nil, err
		}
		if r.keys[k.Number] == nil {
			r.size++
		}
		r.keys[k.Number] = derived
	}
	if r.keys[current] == nil {
		return nil, errors.Errorf("fleet: the current key %d is not in the keyring", current)
	}
	return r, nil
}

func deriveKeys(k Key) (*derivedKeys, error) {
	connIDKey, err := hkdf.Key(sha256.New, k.Secret[:], nil, "bergamotrun connection id", aes.BlockSize)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: derive connection ID key")
	}
	envelopeKey, err := hkdf.Key(sha256.New, k.Secret[:], nil, "bergamotrun envelope", KeySize)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: derive envelope key")
	}
	block, err := aes.NewCipher(connIDKey)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: create block cipher")
	}
	return &derivedKeys{connIDCipher: block, envelopeKey: [KeySize]byte(envelopeKey)}, nil
}

// Current returns the number of the key for new flows.
func (r *Keyring) Current() uint8 { return r.current }

// Len returns the number of keys in the keyring.
func (r *Keyring) Len() int { return r.size }

// ConnIDCipher returns the cipher for connection IDs that is derived from key n, or nil if the keyring has no key n.
func (r *Keyring) ConnIDCipher(n uint8) cipher.Block {
	if k := r.keys[n]; k != nil {
		return k.connIDCipher
	}
	return nil
}

// EnvelopeKey returns the envelope MAC key that is derived from key n, or nil if the keyring has no key n.
func (r *Keyring) EnvelopeKey(n uint8) []byte {
	if k := r.keys[n]; k != nil {
		return k.envelopeKey[:]
	}
	return nil
}

// AtomicKeyring publishes the current keyring to the packet path. It is safe for concurrent use.
type AtomicKeyring struct{ keyring atomic.Pointer[Keyring] }

// Load returns the current keyring, or nil before the first Store.
func (a *AtomicKeyring) Load() *Keyring { return a.keyring.Load() }

// Store replaces the current keyring by r.
func (a *AtomicKeyring) Store(r *Keyring) { a.keyring.Store(r) }

// Secret is the shared secret of a deployment. Its formatted form doesn't reveal it.
type Secret [KeySize]byte

// String returns a placeholder, so that the secret can't end up in a log.
func (Secret) String() string { return "[secret]" }

// GoString returns a placeholder, so that the secret can't end up in a log.
func (Secret) GoString() string { return "[secret]" }

// SecretFromText derives the deployment's secret from the text in the settings.
// It returns an error if text is shorter than 16 bytes.
func SecretFromText(text string) (Secret, error) {
	const minLength = 16
	if len(text) < minLength {
		return Secret{}, errors.Errorf("fleet: secret has %d characters, at least %d are required", len(text), minLength)
	}
	return Secret(sha256.Sum256([]byte(text))), nil
}

// Derive derives the key for a purpose from the secret.
func (s Secret) Derive(purpose string) [KeySize]byte {
	k, err := hkdf.Key(sha256.New, s[:], nil, "bergamotrun "+purpose, KeySize)
	if err != nil {
		panic(err) // HKDF fails only for keys longer than 255 hashes.
	}
	return [KeySize]byte(k)
}

// ResetKey returns the key for QUIC stateless reset tokens, which all agents share.
func (s Secret) ResetKey() [KeySize]byte { return s.Derive("stateless reset") }

// NewKey returns a random packet key with number n.
func NewKey(n uint8) Key {
	k := Key{Number: n}
	_, _ = rand.Read(k.Secret[:]) // crypto/rand.Read never fails.
	return k
}

// SealedKey is a packet key encrypted with the deployment's secret. Box holds the nonce followed by the ciphertext.
type SealedKey struct {
	Number uint8  `json:"number" cbor:"1,keyasint"`
	Box    []byte `json:"box" cbor:"2,keyasint"`
}

// Seal encrypts k for storage.
func (s Secret) Seal(k Key) (SealedKey, error) {
	aead, err := s.storedKeyAEAD()
	if err != nil {
		return SealedKey{}, err
	}
	nonce := make([]byte, aead.NonceSize())
	_, _ = rand.Read(nonce) // crypto/rand.Read never fails.
	return SealedKey{Number: k.Number, Box: aead.Seal(nonce, nonce, k.Secret[:], []byte{k.Number})}, nil
}

// Open decrypts a sealed key. It returns an error if the key was sealed with another secret.
func (s Secret) Open(sealed SealedKey) (Key, error) {
	aead, err := s.storedKeyAEAD()
	if err != nil {
		return Key{}, err
	}
	n := aead.NonceSize()
	if len(sealed.Box) < n {
		return Key{}, errors.Errorf("fleet: sealed key %d is truncated", sealed.Number)
	}
	plain, err := aead.Open(nil, sealed.Box[:n], sealed.Box[n:], []byte{sealed.Number})
	if err != nil {
		return Key{}, errors.Wrapf(err, "fleet: sealed key %d can't be decrypted with this secret", sealed.Number)
	}
	return Key{Number: sealed.Number, Secret: [KeySize]byte(plain)}, nil
}

// storedKeyAEAD returns the AEAD that seals packet keys for storage.
func (s Secret) storedKeyAEAD() (cipher.AEAD, error) {
	k := s.Derive("stored keys")
	block, err := aes.NewCipher(k[:])
	if err != nil {
		return nil, errors.Wrap(err, "fleet: create cipher for stored keys")
	}
	aead, err := cipher.NewGCM(block)
	return aead, errors.Wrap(err, "fleet: create AEAD for stored keys")
}
