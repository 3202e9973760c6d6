package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint.
const fingerprintBytes = 16

// Fingerprint identifies a request by what the backend server executes: requests with the
// same method, target, organisation and body have the same one.
func Fingerprint(method, target, organisation string, body []byte) string {
	hash := sha256.New()
	for _, field := range []string{method, target, organisation} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:]) // A hash never returns an error.
		_, _ = hash.Write([]byte(field))
	}
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}
