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

// certLife is how long a process's internal certificate is valid; peers check its key, not its dates.
const certLife = 10 * 365 * 24 * time.Hour

// TLSConfig returns the configuration for connections between the system's own processes.
// Both ends prove that they hold the secret: their Ed25519 key is derived from it.
func (s Secret) TLSConfig(protos ...string) (*tls.Config, error) {
	seed := s.Derive("process identity")
	key := ed25519.NewKeyFromSeed(seed[:])
	cert, err := selfSigned(key)
	if err != nil {
		return nil, err
	}
	public := key.Public().(ed25519.PublicKey)
	verify := func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("fleet: peer sent no certificate")
		}
		peer, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || !public.Equal(peer) {
			return errors.New("fleet: peer doesn't hold this deployment's secret")
		}
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{cert},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection checks the peer's key instead.
		VerifyConnection:   verify,
		NextProtos:         protos,
	}, nil
}

func selfSigned(key ed25519.PrivateKey) (tls.Certificate, error) {
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "bergamotrun process"},
		NotBefore:    now.Add(-certLife),
		NotAfter:     now.Add(certLife),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "fleet: create process certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}
