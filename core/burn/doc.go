// Package burn counts requests and batch items against their service-level objectives and judges burn rates.
//
// The error budget of an objective is 1 less its target. A burn rate of 1 spends the budget at exactly the speed that
// the target allows; the alerts watch pairs of windows, so that a short one ends an alert soon after its cause has gone.
package burn
