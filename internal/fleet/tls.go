package fleet

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// certValidity is the validity period of a process's internal certificate before and after its creation. Peers verify its
// key, not its dates.
const certValidity = 10 * 365 * 24 * time.Hour

// TLSConfig returns the configuration for connections between the processes of a deployment. Both ends authenticate with
// an Ed25519 key that is derived from the secret, which proves that they hold it.
func (s Secret) TLSConfig(protocols ...string) (*tls.Config, error) {
	identitySeed := s.Derive("process identity")
	key := ed25519.NewKeyFromSeed(identitySeed[:])
	cert, err := selfSignedCertificate(key)
	if err != nil {
		return nil, err
	}
	publicKey := key.Public().(ed25519.PublicKey)
	verifyPeer := func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("fleet: peer sent no certificate")
		}
		peerKey, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || !publicKey.Equal(peerKey) {
			return errors.New("fleet: peer doesn't hold this deployment's secret")
		}
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{cert},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection verifies the peer's key instead.
		VerifyConnection:   verifyPeer,
		NextProtos:         protocols,
	}, nil
}

func selfSignedCertificate(key ed25519.PrivateKey) (tls.Certificate, error) {
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "bergamotrun process"},
		NotBefore:    now.Add(-certValidity),
		NotAfter:     now.Add(certValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "fleet: create process certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}
