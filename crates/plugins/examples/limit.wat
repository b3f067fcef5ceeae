;; A limit of top-ups per card and day: a customer's units of a day (UTC) are added up, and what would pass 50 is refused.
(module
  (import "frosthatch" "now_ms" (func $now_ms (result i64)))
  (import "frosthatch" "get" (func $get (param i32 i32 i32 i32) (result i32)))
  (import "frosthatch" "set" (func $set (param i32 i32 i32 i32) (result i32)))
  (memory (export "memory") 1)
  ;; 0: the verdict; 32: key, the customer and the day; 64: units so far; 1024: the record
  (func (export "frosthatch_abi") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (func (export "on_request") (param $at i32) (param $length i32) (result i64)
    (local $sum f64)
    (if (i32.and (i32.load offset=20 (local.get $at)) (i32.const 1)) (then (return (i64.const 0))))
    (i64.store (i32.const 32) (i64.load (local.get $at)))
    (i64.store (i32.const 40) (i64.div_u (call $now_ms) (i64.const 86400000)))
    (if (i32.ne (call $get (i32.const 32) (i32.const 16) (i32.const 64) (i32.const 8)) (i32.const 8))
      (then (f64.store (i32.const 64) (f64.const 0))))
    (local.set $sum (f64.add (f64.load (i32.const 64)) (f64.load offset=8 (local.get $at))))
    (if (f64.gt (local.get $sum) (f64.const 50))
      (then
        ;; Refuse, and come back in an hour.
        (i64.store (i32.const 0) (i64.or (i64.const 2) (i64.shl (i64.const 3600000) (i64.const 32))))
        (i64.store (i32.const 8) (i64.const 0))
        (return (i64.const 16))))
    (f64.store (i32.const 64) (local.get $sum))
    ;; A store that is full does not count, and so lets through: the operator gives room for the day's cards.
    (drop (call $set (i32.const 32) (i32.const 16) (i32.const 64) (i32.const 8)))
    i64.const 0))
