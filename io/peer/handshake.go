package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"tarragonwalk/core/fault"
)

const (
	nonceBytes       = 32
	proofBytes       = sha256.Size
	handshakeTimeout = 2 * time.Second
	serverLabel      = "tarragonwalk peer server"
	clientLabel      = "tarragonwalk peer client"
)

// serverHandshake authenticates an accepted connection in both directions: the server sends a nonce, the client answers with
// its own nonce and an HMAC of both under the shared secret, and the server returns its own HMAC.
func serverHandshake(c net.Conn, secret []byte, at time.Time) error {
	if err := c.SetDeadline(at.Add(handshakeTimeout)); err != nil {
		return handshakeFailed(err)
	}
	own, err := sendNonce(c)
	if err != nil {
		return err
	}
	answer := make([]byte, nonceBytes+proofBytes)
	if _, err := io.ReadFull(c, answer); err != nil {
		return handshakeFailed(err)
	}
	other := answer[:nonceBytes]
	if !hmac.Equal(answer[nonceBytes:], prove(secret, clientLabel, own, other)) {
		return fault.New(fault.CodeUnauthorized, "peer does not hold the secret")
	}
	if _, err := c.Write(prove(secret, serverLabel, own, other)); err != nil {
		return handshakeFailed(err)
	}

	return clearDeadline(c)
}

// clientHandshake is the connecting side of serverHandshake.
func clientHandshake(c net.Conn, secret []byte, at time.Time) error {
	if err := c.SetDeadline(at.Add(handshakeTimeout)); err != nil {
		return handshakeFailed(err)
	}
	other := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, other); err != nil {
		return handshakeFailed(err)
	}
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return handshakeFailed(err)
	}
	if _, err := c.Write(append(append([]byte{}, own...), prove(secret, clientLabel, other, own)...)); err != nil {
		return handshakeFailed(err)
	}
	proof := make([]byte, proofBytes)
	if _, err := io.ReadFull(c, proof); err != nil {
		return handshakeFailed(err)
	}
	if !hmac.Equal(proof, prove(secret, serverLabel, other, own)) {
		return fault.New(fault.CodeUnauthorized, "peer does not hold the secret")
	}

	return clearDeadline(c)
}

func sendNonce(c net.Conn) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, handshakeFailed(err)
	}
	if _, err := c.Write(nonce); err != nil {
		return nil, handshakeFailed(err)
	}

	return nonce, nil
}

func prove(secret []byte, label string, server, client []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(label))
	h.Write(server)
	h.Write(client)

	return h.Sum(nil)
}

func clearDeadline(c net.Conn) error {
	if err := c.SetDeadline(time.Time{}); err != nil {
		return handshakeFailed(err)
	}

	return nil
}

func handshakeFailed(err error) error {
	return fault.Wrap(err, fault.CodeUnavailable, "peer handshake failed")
}
