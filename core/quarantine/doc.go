// Package quarantine finds prompt parts that crash backend servers, and decides which requests are refused because of them.
//
// A connection that is lost before anything was answered is a possible crash of that incarnation of the server, under one of the
// parts of the requests that it had not answered. A part of a request that is answered, by its first event at least, is sound. A part
// under which several incarnations were lost, and which nothing else explains, is quarantined until a deadline. Instances exchange this evidence in their heartbeats.
package quarantine
