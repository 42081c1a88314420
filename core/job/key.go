package job

import (
	"fmt"
	"net/url"
)

// Prefixes for listings and watches.
const (
	// OpenPrefix precedes the entries of the open-job index.
	OpenPrefix = "open/"
	// SessionsPrefix precedes the sessions of instances.
	SessionsPrefix = "session/"
)

// FileKey returns the key of a file's metadata.
func FileKey(workspace, file string) string {
	return "file/" + url.PathEscape(workspace) + "/" + url.PathEscape(file)
}

// FileChunkKey returns the key of a file's chunk. The key contains the range of the chunk's items, so that uploads of the file
// with other chunk limits never write another content under it.
func FileChunkKey(workspace, file string, c ChunkInfo) string {
	return fmt.Sprintf("%s/%06d-%d", FileKey(workspace, file), c.FirstItem, c.Items)
}

// OpenKey returns the key of a job's entry in the open-job index.
func OpenKey(job string) string {
	return OpenPrefix + url.PathEscape(job)
}

// JobsPrefix returns the prefix of a workspace's job records.
func JobsPrefix(workspace string) string {
	return "job/" + url.PathEscape(workspace) + "/"
}

// RecordKey returns the key of a job record.
func RecordKey(workspace, job string) string {
	return JobsPrefix(workspace) + url.PathEscape(job)
}

// ClaimsPrefix returns the prefix of a job's claims.
func ClaimsPrefix(job string) string {
	return "claim/" + url.PathEscape(job) + "/"
}

// ClaimKey returns the key of the claim of a chunk.
func ClaimKey(job string, chunk int) string {
	return fmt.Sprintf("%s%06d", ClaimsPrefix(job), chunk)
}

// PartsPrefix returns the prefix of a job's parts.
func PartsPrefix(job string) string {
	return "part/" + url.PathEscape(job) + "/"
}

// PartKey returns the key of part n, from 0, of a chunk's results in an attempt.
func PartKey(job string, chunk, attempt, n int) string {
	return fmt.Sprintf("%s%06d/%d/%06d", PartsPrefix(job), chunk, attempt, n)
}

// ResultsPrefix returns the prefix of a job's chunk results.
func ResultsPrefix(job string) string {
	return "result/" + url.PathEscape(job) + "/"
}

// ResultKey returns the key of a chunk's result.
func ResultKey(job string, chunk int) string {
	return fmt.Sprintf("%s%06d", ResultsPrefix(job), chunk)
}

// SessionKey returns the key of an instance's session.
func SessionKey(instance string) string {
	return SessionsPrefix + url.PathEscape(instance)
}

// OnceKey returns the key of the record of a non-idempotent request.
func OnceKey(workspace, key string) string {
	return "once/" + url.PathEscape(workspace) + "/" + url.PathEscape(key)
}
