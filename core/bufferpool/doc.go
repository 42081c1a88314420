// Package bufferpool reuses the buffers of messages whose size is not known before they end. Without it, senders that do not stop leave more
// garbage behind than a collector on a small machine can keep up with.
package bufferpool
