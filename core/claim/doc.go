// Package claim decides which instances work on a job and when a chunk claim may be taken over.
package claim
