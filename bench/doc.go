// Package bench holds the load, measuring and proving tools of goldcrestport.
// They start processes; the product's processes start none.
package bench
