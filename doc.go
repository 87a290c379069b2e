// Package rosemarysill holds the contracts of a scheduler for
// multi-accelerator jobs under client account guarantees: the values that its
// parts exchange, the interfaces that they implement, and the result codes.
// Implementations live in the packages below it.
package rosemarysill
