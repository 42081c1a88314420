package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
)

// FileID returns the identity of a file from its workspace and the SHA-256 of its content.
func FileID(workspace string, content [sha256.Size]byte) string {
	return digest("file", workspace, string(content[:]))
}

// ID returns the identity of the job that s submits. It derives from the IdempotencyKey or, without one, from the content of s.
func ID(s Submission) string {
	if s.IdempotencyKey != "" {
		return digest("job-key", s.Workspace, s.IdempotencyKey)
	}
	// json.Marshal sorts map keys, so equal metadata gives an equal identity.
	metadata, err := json.Marshal(s.Metadata)
	if err != nil || len(s.Metadata) == 0 {
		metadata = nil
	}

	return digest("job-content", s.Workspace, s.File, string(ItemURLV1ChatCompletions), s.Deployment, s.Window, string(metadata))
}

// RequestID returns the request id of an item by its number in the file, from 0.
func RequestID(job string, item int) string {
	return job + "-" + strconv.Itoa(item)
}

// StreamID returns the stream identity of a request.
func StreamID(workspace, request string) string {
	return digest("stream", workspace, request)
}

// digest hashes parts with their lengths, so that different parts with the same concatenation have different digests.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write([]byte(strconv.Itoa(len(p)) + ":" + p))
	}

	return hex.EncodeToString(h.Sum(nil))
}
