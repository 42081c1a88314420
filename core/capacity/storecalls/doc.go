// Package storecalls measures the object store calls of an idle instance and of a follower of the open-job index.
package storecalls
