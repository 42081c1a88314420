// Package rollout brings the engines of an availability zone to the model, adapter and version that their deployments
// specify, with idempotent orders sent by the holder of the zone's lease.
package rollout
