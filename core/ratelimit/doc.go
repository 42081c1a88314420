// Package ratelimit describes limits of requests in a sliding window that many instances keep together.
package ratelimit
