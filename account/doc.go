// Package account keeps the use of capacity by client accounts against their
// guarantees and quotas, and orders waiting jobs by class and fair share. All
// functions are pure.
package account
