// Package rendezvous ranks instances for a key by highest random weight, so that all observers of one list agree.
package rendezvous
