// Package forward runs one caller's request on backend servers: it sends, retries, resumes and gives up.
package forward
